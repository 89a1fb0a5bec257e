use std::{
    collections::VecDeque,
    pin::pin,
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
    dispatch::{Ending, Need, Ticket},
    error::{Error, Executed, Kind},
    id::Endpoint,
    invariant::{self, Invariant},
    unit,
    upstream::{self, Body, Framing},
};

/// Silence after which another endpoint is asked to continue a resumable stream. A sound endpoint can
/// be silent for a second or so; callers give up after two seconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that the other endpoint has for its first event if the silent one goes on meanwhile.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Builds the response to the caller, with a body that is relayed from the endpoint.
pub(super) async fn relay_response(mut exchange: Exchange, accepted: Accepted) -> Result<Response> {
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
    let framing = match response.framing {
        Framing::Length(_) if resumable => Framing::Chunked,
        framing => framing,
    };
    let mut relay = BodyRelay {
        splitter: streams.then(EventSplitter::default),
        resume_after: exchange.call.resume_after,
        status: response.status,
        media: media_type(&response.headers),
        remaining_bytes: response.framing.length(),
        may_be_cut_unseen: response.framing == Framing::UntilClose,
        waiting_since: exchange.ports.clock.now(),
        exchange,
        body: Some(response.body),
        held: VecDeque::new(),
        ticket: Some(ticket),
    };
    if framing.length() == Some(unit::Bytes::ZERO) {
        // The HTTP server does not poll a body without bytes.
        let end = relay.next().await;
        let end = end.inspect_err(|error| relay.exchange.log.cut_off(error))?;
        return Ok(Response {
            status: response.status,
            headers: response.headers,
            framing,
            body: stream::iter(end.map(Ok)).boxed_local(),
        });
    }
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
                relay.exchange.log.cut_off(&error);
                Some((Err(error), None))
            }
        }
    });
    Ok(Response {
        status: response.status,
        headers: response.headers,
        framing,
        body: body.boxed_local(),
    })
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

/// What was read from an endpoint.
enum Read {
    /// Bytes of the body.
    Part(Bytes),
    /// The end of the body.
    End,
    /// Nothing: the endpoint has been silent for [`STALL_TIMEOUT`], and the stream may continue at
    /// another one.
    Stalled,
}

/// Relays the body of a response, and resumes a stream that breaks if its route allows that.
struct BodyRelay {
    exchange: Exchange,
    body: Option<Body>,
    /// Read from the body while another endpoint was asked to continue the stream.
    held: VecDeque<upstream::Result<Option<Bytes>>>,
    ticket: Option<Ticket>,
    splitter: Option<EventSplitter>,
    resume_after: Option<EventId>,
    status: u16,
    media: Option<String>,
    /// Bytes still to be read from the current endpoint, if the length is known.
    remaining_bytes: Option<unit::Bytes>,
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
            let read = match self.read().await {
                Ok(Read::Stalled) => {
                    self.hand_over().await?;
                    continue;
                }
                Ok(Read::Part(bytes)) => Ok(Some(bytes)),
                Ok(Read::End) => Ok(None),
                Err(error) => Err(error),
            };
            match read {
                Ok(Some(bytes)) => {
                    let is_last = match self.count_bytes(bytes.len()) {
                        Ok(is_last) => is_last,
                        Err(error) => {
                            self.resume(error).await?;
                            continue;
                        }
                    };
                    let ready = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => Ok(bytes),
                    };
                    let ready = match ready.and_then(|ready| self.keep().map(|()| ready)) {
                        Ok(ready) => ready,
                        Err(error) => {
                            self.resume(error).await?;
                            continue;
                        }
                    };
                    // The HTTP server does not poll the body beyond its length, so the end is read
                    // here.
                    if is_last && let Err(error) = self.read_end().await {
                        self.resume(error).await?;
                    }
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
                Ok(None) => match self.complete() {
                    Ok(()) => return Ok(None),
                    Err(error) => self.resume(error).await?,
                },
                Err(error) => self.resume(error).await?,
            }
        }
    }

    /// Counts the bytes that are kept until their event is whole.
    fn keep(&mut self) -> Result<()> {
        let (Some(body), Some(splitter)) = (&mut self.body, &self.splitter) else {
            return Ok(());
        };
        body.keep(splitter.pending_bytes() + total_bytes(&self.held))
            .map_err(exceeded)
    }

    /// Subtracts received bytes from a known length. Returns whether they are the last ones.
    fn count_bytes(&mut self, bytes: usize) -> Result<bool> {
        let Some(remaining) = &mut self.remaining_bytes else {
            return Ok(false);
        };
        let left = remaining.get().checked_sub(bytes as u64);
        *remaining = left.map(unit::Bytes::new).ok_or_else(exceeds_length)?;
        Ok(*remaining == unit::Bytes::ZERO)
    }

    /// Reads the end of a body whose length is reached, so that its connection can be reused.
    async fn read_end(&mut self) -> Result<()> {
        match self.read().await {
            Ok(Read::End | Read::Stalled) => self.complete(),
            Ok(Read::Part(_)) => Err(exceeds_length()),
            Err(error) => {
                log::debug!(error:% = error;
                    "connection was lost after the complete body; the response is complete");
                self.complete()
            }
        }
    }

    /// Reads the next bytes from the endpoint, within the deadline and the stall timeout.
    async fn read(&mut self) -> Result<Read> {
        let remaining = self.exchange.remaining();
        if remaining.is_zero() {
            // A timeout of zero would still return a part that is ready.
            return Err(past_deadline());
        }
        let resumable = self.splitter.is_some() && self.exchange.has_attempts();
        let limit = if resumable {
            // Counted in events, since a stalled endpoint may still send a byte now and then.
            let silent = self.exchange.ports.clock.now() - self.waiting_since;
            remaining.min(STALL_TIMEOUT.saturating_sub(silent))
        } else {
            remaining
        };
        let Some(body) = &mut self.body else {
            return Ok(Read::End);
        };
        let read = match self.held.pop_front() {
            Some(held) => Ok(held),
            None => time::timeout(limit, body.next()).await,
        };
        match read {
            Ok(Ok(Some(bytes))) => Ok(Read::Part(bytes)),
            Ok(Ok(None)) => Ok(Read::End),
            Ok(Err(error)) => Err(cut_off(error)),
            Err(_elapsed) if limit == remaining => Err(past_deadline()),
            Err(_elapsed) => Ok(Read::Stalled),
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
        let whole = self
            .remaining_bytes
            .is_none_or(|bytes| bytes == unit::Bytes::ZERO);
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
        self.exchange.log.completed();
        Ok(())
    }

    /// Asks another endpoint to continue a stalled stream. The silent endpoint keeps the stream until
    /// the other one has sent an event, since it may be sound and go on.
    async fn hand_over(&mut self) -> Result<()> {
        // If the stream stays, the next endpoint is asked after the same time.
        self.waiting_since = self.exchange.ports.clock.now();
        let Some(endpoint) = self.endpoint() else {
            return Ok(());
        };
        // Only the first prefill at an engine of its own is no attempt.
        let need = Need::PrefillAndDecode;
        let Some(reserved) = self.exchange.reserve(&endpoint, need).await else {
            record_stall("no other endpoint");
            return Ok(());
        };
        let (Some(mut body), Some(mut splitter)) = (self.body.take(), self.splitter.clone()) else {
            return Ok(());
        };
        let expected = Expected {
            status: self.status,
            media: self.media.clone(),
            after: self.last_id(),
            splitter: splitter.clone(),
        };
        let after = expected.after;
        let may_be_cut_unseen = self.may_be_cut_unseen;
        let mut state = Silence::Lasts;
        let continuation = {
            let mut continuation = pin!(continue_at(&mut self.exchange, reserved, expected));
            let mut handover_timeout = pin!(time::sleep(HANDOVER_TIMEOUT));
            loop {
                tokio::select! {
                    biased;
                    continuation = &mut continuation => break Some(continuation),
                    () = &mut handover_timeout, if state == Silence::Ended => break None,
                    part = body.next(), if state == Silence::Lasts => {
                        state = Silence::after(&part, &mut splitter, may_be_cut_unseen);
                        self.held.push_back(part);
                        let kept = splitter.pending_bytes() + total_bytes(&self.held);
                        if let Err(error) = body.keep(kept) {
                            self.held.push_back(Err(error));
                            state = Silence::Broken;
                        }
                    }
                }
            }
        };
        let why = match continuation {
            Some(Ok(continuation)) => {
                record_stall("continued elsewhere");
                if let Some(ticket) = self.ticket.take() {
                    if state == Silence::Broken {
                        self.exchange.end_lost(ticket);
                    } else {
                        ticket.end(Ending::Failed);
                    }
                }
                drop(body);
                self.held = continuation.held;
                self.relay_from(continuation.accepted, after, "the stream has stalled");
                return Ok(());
            }
            Some(Err(error)) => error.to_string(),
            None => "the endpoint goes on".to_owned(),
        };
        record_stall("stayed");
        self.exchange.log.stayed(&endpoint, &why);
        self.body = Some(body);
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
        if self.splitter.is_none() {
            return Err(error);
        }
        log::info!(call:? = self.call_id(), endpoint:? = endpoint.as_ref().map(ToString::to_string),
            sends = self.exchange.sends(), cause:% = error; "stream was interrupted");
        let last = self.last_id();
        let Some(endpoint) = endpoint else {
            return Err(error);
        };
        if !self.exchange.may_resume(&endpoint).await {
            return Err(error);
        }
        let accepted = self.exchange.obtain_response(None, last).await?;
        if !continues(&accepted, self.status, self.media.as_deref()) {
            accepted.ticket.end(Ending::Failed);
            return Err(error);
        }
        self.held.clear();
        self.relay_from(accepted, last, &error.to_string());
        Ok(())
    }

    /// Relays the rest of the stream from another endpoint.
    fn relay_from(&mut self, accepted: Accepted, last: Option<EventId>, cause: &str) {
        let Accepted {
            response,
            mut ticket,
        } = accepted;
        log::info!(call:? = self.call_id(), after:? = last.map(|id| id.to_string()), cause = cause;
            "stream resumed at another endpoint");
        if let Some(splitter) = &mut self.splitter {
            splitter.restart();
        }
        self.waiting_since = self.exchange.ports.clock.now();
        self.body = Some(response.body);
        self.remaining_bytes = response.framing.length();
        self.may_be_cut_unseen = response.framing == Framing::UntilClose;
        start_pace(&self.exchange, &mut ticket);
        self.ticket = Some(ticket);
    }

    /// The last event that the caller has received.
    fn last_id(&self) -> Option<EventId> {
        let splitter = self.splitter.as_ref()?;
        splitter.last_id().or(self.resume_after)
    }

    /// The endpoint that sends the stream.
    fn endpoint(&self) -> Option<Endpoint> {
        let ticket = self.ticket.as_ref()?;
        Some(ticket.choice().instance.id.clone())
    }

    fn call_id(&self) -> Option<String> {
        self.exchange.call.id.as_ref().map(ToString::to_string)
    }
}

/// What becomes of the silence of an endpoint while another one is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// No whole event has arrived.
    Lasts,
    /// The endpoint goes on, or the stream is complete.
    Ended,
    /// The endpoint has broken off, or its stream is not valid.
    Broken,
}

impl Silence {
    /// The state after a part of the body, which `splitter` has not seen yet.
    fn after(
        part: &upstream::Result<Option<Bytes>>,
        splitter: &mut EventSplitter,
        may_be_cut_unseen: bool,
    ) -> Self {
        match part {
            Ok(Some(bytes)) => match splitter.push(bytes) {
                Ok(ready) if ready.is_empty() => Self::Lasts,
                Ok(_) => Self::Ended,
                Err(_invalid) => Self::Broken,
            },
            Ok(None) if splitter.is_between_events() && !may_be_cut_unseen => Self::Ended,
            Ok(None) | Err(_) => Self::Broken,
        }
    }
}

/// What the continuation of a stream has to be like.
struct Expected {
    status: u16,
    media: Option<String>,
    after: Option<EventId>,
    splitter: EventSplitter,
}

/// A stream that goes on at another endpoint.
struct Continuation {
    accepted: Accepted,
    /// The parts of the body up to its first whole event.
    held: VecDeque<upstream::Result<Option<Bytes>>>,
}

/// Continues a stream at the endpoint of `reserved`. Returns once its first event has arrived.
async fn continue_at(
    exchange: &mut Exchange,
    reserved: Ticket,
    expected: Expected,
) -> Result<Continuation> {
    let Expected {
        status,
        media,
        after,
        mut splitter,
    } = expected;
    let mut accepted = exchange.obtain_response(Some(reserved), after).await?;
    if !continues(&accepted, status, media.as_deref()) {
        accepted.ticket.end(Ending::Failed);
        let detail = "the other endpoint did not continue the stream";
        return Err(Error::new(Kind::EndpointFailed, detail));
    }
    splitter.restart();
    let mut held = VecDeque::new();
    loop {
        let remaining = exchange.remaining();
        let part = time::timeout(remaining, accepted.response.body.next()).await;
        let part = part.map_err(|_elapsed| past_deadline())?;
        let cut_unseen = accepted.response.framing == Framing::UntilClose;
        let state = Silence::after(&part, &mut splitter, cut_unseen);
        held.push_back(part);
        let kept = splitter.pending_bytes() + total_bytes(&held);
        accepted.response.body.keep(kept).map_err(exceeded)?;
        match state {
            Silence::Lasts => {}
            Silence::Ended => return Ok(Continuation { accepted, held }),
            Silence::Broken => {
                exchange.end_lost(accepted.ticket);
                let detail = "the other endpoint broke off";
                return Err(Error::new(Kind::EndpointLost, detail));
            }
        }
    }
}

/// Returns whether a response continues a stream of this status and media type.
fn continues(accepted: &Accepted, status: u16, media: Option<&str>) -> bool {
    let Accepted { response, ticket } = accepted;
    let continues = response.status == status && media_type(&response.headers).as_deref() == media;
    if !continues {
        log::info!(endpoint:% = ticket.choice().instance.id, status = response.status;
            "endpoint did not continue the stream");
    }
    continues
}

/// Counts a stalled stream by what became of it.
fn record_stall(result: &'static str) {
    metrics::counter!("stalled_streams_total", "result" => result).increment(1);
}

/// Bytes of received parts.
fn total_bytes(parts: &VecDeque<upstream::Result<Option<Bytes>>>) -> usize {
    let parts = parts.iter().flatten().flatten();
    parts.map(Bytes::len).sum()
}

fn exceeded(error: upstream::Error) -> Error {
    let detail = "the endpoint sent more bytes than are held for it";
    Error::new(Kind::EndpointFailed, detail).with_source(error)
}

fn exceeds_length() -> Error {
    Error::new(Kind::EndpointFailed, "the body exceeds its length")
}

fn cut_off(error: upstream::Error) -> Error {
    Error::new(Kind::EndpointLost, "the answer was cut off").with_source(error)
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
