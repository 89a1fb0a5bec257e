use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::http::header::{CONTENT_TYPE, HeaderMap};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use tokio::time;

use super::{
    EventId, EventSplitter, Response, Result,
    exchange::{Accepted, Exchange},
};
use crate::{
    dispatch::{Ending, Ticket},
    error::{Error, Executed, Kind},
    invariant::{self, Invariant},
    upstream::Body,
};

/// Silence after which a resumable stream is resumed at another endpoint. Callers give up after two
/// seconds.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds the response to the caller, with a body that is relayed from the endpoint.
pub(super) fn relay_response(mut exchange: Exchange, accepted: Accepted) -> Response {
    let Accepted {
        response,
        mut ticket,
    } = accepted;
    let streams = exchange.route.kind.is_stream() && response.status < 300;
    if streams {
        start_pace(&exchange, &mut ticket);
    }
    exchange.log.answered(response.status);
    // The length of a stream that may be resumed is not known.
    let resumable = streams && exchange.route.kind.is_repeatable();
    let length = response.length.filter(|_| !resumable);
    let relay = BodyRelay {
        splitter: streams.then(EventSplitter::default),
        resume_after: exchange.call.resume_after,
        status: response.status,
        media: media_type(&response.headers),
        remaining_bytes: response.length,
        may_be_cut_unseen: response.ends_with_connection,
        waiting_since: exchange.ports.clock.now(),
        exchange,
        body: Some(response.body),
        ticket: Some(ticket),
    };
    let shutdown = relay.exchange.ports.shutdown.clone();
    let clock = Arc::clone(&relay.exchange.ports.clock);
    let cut = Box::pin(async move { shutdown.cut(&*clock).await });
    let body = stream::unfold(Some((relay, cut)), |state| async move {
        let (mut relay, mut cut) = state?;
        let next = tokio::select! {
            biased;
            next = relay.next() => next,
            () = &mut cut => Err(cut_by_stop()),
        };
        match next {
            Ok(Some(bytes)) => Some((Ok(bytes), Some((relay, cut)))),
            Ok(None) => None,
            Err(error) => {
                relay.exchange.log.ended(error.to_string());
                Some((Err(error), None))
            }
        }
    });
    Response {
        status: response.status,
        headers: response.headers,
        length,
        body: body.boxed_local(),
    }
}

/// Media type of a response without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media = value.split(';').next().unwrap_or_default();
    Some(media.trim().to_ascii_lowercase())
}

/// Starts to record the pauses of a stream, if its route limits them.
fn start_pace(exchange: &Exchange, ticket: &mut Ticket) {
    if let Some(target) = exchange.route.event_gap {
        ticket.start_stream(target, exchange.deadline);
    }
}

/// Relays the body of a response, and resumes a stream that breaks if its route allows that.
struct BodyRelay {
    exchange: Exchange,
    body: Option<Body>,
    ticket: Option<Ticket>,
    splitter: Option<EventSplitter>,
    resume_after: Option<EventId>,
    status: u16,
    media: Option<String>,
    /// Bytes still to be read from the current endpoint, if the length is known.
    remaining_bytes: Option<u64>,
    /// Whether the end of the body could be that of a broken connection: it has no framing, and no
    /// event has arrived. An engine that runs a request sends at least one.
    may_be_cut_unseen: bool,
    /// When the caller began to wait for the next complete event, or when a resumed stream began.
    waiting_since: Instant,
}

impl BodyRelay {
    /// Reads until bytes can be passed on. Returns `None` at the end of a complete body.
    async fn next(&mut self) -> Result<Option<Bytes>> {
        // The time that a slow caller takes between reads is no silence of the endpoint.
        self.waiting_since = self.exchange.ports.clock.now();
        loop {
            match self.read().await {
                Ok(Some(bytes)) => {
                    if self.count_bytes(bytes.len()) {
                        // The HTTP server does not poll the body beyond its length, so the end is
                        // read here.
                        self.read_end().await?;
                    }
                    let ready = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes)?,
                        None => bytes,
                    };
                    if !ready.is_empty() {
                        self.may_be_cut_unseen = false;
                        if let Some(ticket) = &mut self.ticket {
                            ticket.record_event(self.exchange.ports.clock.now());
                        }
                        return Ok(Some(ready));
                    }
                }
                Ok(None) if self.may_be_cut_unseen && self.splitter.is_some() => {
                    let detail = "the stream ended before its first event";
                    self.resume(Error::new(Kind::EndpointLost, detail)).await?;
                }
                Ok(None) => return self.complete().map(|()| None),
                Err(error) => self.resume(error).await?,
            }
        }
    }

    /// Subtracts received bytes from a known length. Returns whether they are the last ones.
    fn count_bytes(&mut self, bytes: usize) -> bool {
        let Some(remaining) = &mut self.remaining_bytes else {
            return false;
        };
        *remaining = remaining.saturating_sub(bytes as u64);
        *remaining == 0
    }

    /// Reads the end of a body whose length is reached, so that its connection can be reused.
    async fn read_end(&mut self) -> Result<()> {
        match self.read().await {
            Ok(None) => self.complete(),
            Ok(Some(_)) => Err(Error::new(
                Kind::EndpointFailed,
                "the body exceeds its length",
            )),
            Err(error) => {
                log::debug!(error:% = error;
                    "connection was lost after the complete body; the response is complete");
                self.complete()
            }
        }
    }

    /// Reads the next bytes from the endpoint, within the deadline and the stall timeout.
    async fn read(&mut self) -> Result<Option<Bytes>> {
        let remaining = self.exchange.remaining();
        if remaining.is_zero() {
            // A timeout of zero would still return a part that is ready.
            return Err(past_deadline());
        }
        let resumable = self.splitter.is_some() && self.exchange.route.kind.is_repeatable();
        let limit = if resumable {
            // Counted in events, since a stalled endpoint may still send a byte now and then.
            let silent = self.exchange.ports.clock.now() - self.waiting_since;
            remaining.min(STALL_TIMEOUT.saturating_sub(silent))
        } else {
            remaining
        };
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        match time::timeout(limit, body.next()).await {
            Ok(read) => read.map_err(|error| {
                Error::new(Kind::EndpointLost, "the answer was cut off").with_source(error)
            }),
            Err(_elapsed) if limit == remaining => Err(past_deadline()),
            Err(_elapsed) => Err(Error::new(Kind::EndpointLost, "the stream has stalled")),
        }
    }

    /// Ends the attempt after the complete body, or fails if the stream ended within an event.
    fn complete(&mut self) -> Result<()> {
        let between = self
            .splitter
            .as_ref()
            .is_none_or(EventSplitter::is_between_events);
        if !between {
            let detail = "the stream ended within an event";
            return Err(Error::new(Kind::EndpointLost, detail));
        }
        let whole = self.remaining_bytes.is_none_or(|bytes| bytes == 0);
        invariant::check(Invariant::WholeAnswer, whole, || {
            "a response shorter than its length was treated as complete".to_owned()
        });
        if let Some(ticket) = self.ticket.take() {
            let failed = self.status >= 500;
            ticket.end(if failed {
                Ending::Failed
            } else {
                Ending::Served
            });
        }
        self.exchange.log.ended("complete");
        Ok(())
    }

    /// Resumes a stream at another endpoint, or fails with the error that interrupted it.
    async fn resume(&mut self, error: Error) -> Result<()> {
        // Closes the connection, so that the endpoint stops before another one continues.
        self.body = None;
        let endpoint = self.ticket.take().map(|ticket| {
            let endpoint = ticket.choice().instance.id.clone();
            let late = error.kind() == Kind::Deadline;
            if late {
                ticket.end(Ending::Abandoned);
            } else {
                self.exchange.end_lost(ticket);
            }
            endpoint
        });
        let Some(splitter) = &mut self.splitter else {
            return Err(error);
        };
        let last = splitter.last_id().or(self.resume_after);
        let Some(endpoint) = endpoint else {
            return Err(error);
        };
        if !self.exchange.may_resume(&endpoint).await {
            return Err(error);
        }
        let accepted = self.exchange.obtain_response(last).await?;
        let Accepted { response, ticket } = accepted;
        if response.status != self.status || media_type(&response.headers) != self.media {
            log::info!(call:? = self.exchange.call.id.as_ref().map(ToString::to_string),
                endpoint:% = ticket.choice().instance.id, status = response.status;
                "endpoint did not continue the stream");
            ticket.end(Ending::Failed);
            return Err(error);
        }
        log::info!(call:? = self.exchange.call.id.as_ref().map(ToString::to_string),
            after:? = last.map(|id| id.to_string()), cause:% = error;
            "stream resumed at another endpoint");
        if let Some(splitter) = &mut self.splitter {
            splitter.restart();
        }
        self.waiting_since = self.exchange.ports.clock.now();
        self.body = Some(response.body);
        self.remaining_bytes = response.length;
        self.may_be_cut_unseen = response.ends_with_connection;
        let mut ticket = ticket;
        start_pace(&self.exchange, &mut ticket);
        self.ticket = Some(ticket);
        Ok(())
    }
}

/// The error that ends the body of a response that is in progress at the end of a stop.
fn cut_by_stop() -> Error {
    metrics::counter!("stop_cuts_total", "phase" => "answering").increment(1);
    Error::new(
        Kind::Leaving,
        "the process stops before the end of the answer",
    )
    .with_executed(Executed::Unknown)
}

fn past_deadline() -> Error {
    Error::new(Kind::Deadline, "the answer is not complete in time")
}
