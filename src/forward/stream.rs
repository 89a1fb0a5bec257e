use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use tokio::time;

use super::{
    Answer, EventId, Result, Splitter,
    exchange::{Exchange, Opened},
};
use crate::{
    dispatch::{Ending, Ticket},
    error::{Error, Kind},
    invariant::{self, Point},
    upstream::Body,
};

/// Silence of an endpoint after which a stream that may be continued is continued elsewhere. Callers
/// give up after two seconds.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// The answer of an endpoint that has begun to answer.
pub(super) fn answer(mut exchange: Exchange, opened: Opened) -> Answer {
    let Opened { reply, ticket } = opened;
    let streams = exchange.route.kind.streams() && reply.status < 300;
    exchange.record.answered(reply.status);
    let relay = Relay {
        splitter: streams.then(Splitter::default),
        resume_after: exchange.call.resume_after,
        status: reply.status,
        left: reply.length,
        exchange,
        body: Some(reply.body),
        ticket: Some(ticket),
    };
    let body = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                relay.exchange.record.ended(error.to_string());
                Some((Err(error), None))
            }
        }
    });
    Answer {
        status: reply.status,
        headers: reply.headers,
        length: reply.length,
        body: body.boxed_local(),
    }
}

/// Passes a body on.
struct Relay {
    exchange: Exchange,
    body: Option<Body>,
    ticket: Option<Ticket>,
    splitter: Option<Splitter>,
    resume_after: Option<EventId>,
    status: u16,
    /// Bytes that are missing, if the length is known.
    left: Option<u64>,
}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            match self.read().await {
                Ok(Some(bytes)) => {
                    if self.count(bytes.len()) {
                        // The server asks for nothing beyond the length, so the end is read here.
                        self.finish().await?;
                    }
                    let ready = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes)?,
                        None => bytes,
                    };
                    if !ready.is_empty() {
                        return Ok(Some(ready));
                    }
                }
                Ok(None) => return self.complete().map(|()| None),
                Err(error) => self.resume(error).await?,
            }
        }
    }

    /// Counts bytes of a body whose length is known. Returns whether these are the last.
    fn count(&mut self, bytes: usize) -> bool {
        let Some(left) = &mut self.left else {
            return false;
        };
        *left = left.saturating_sub(bytes as u64);
        *left == 0
    }

    /// Reads the end of a body, which lets its connection be used again.
    async fn finish(&mut self) -> Result<()> {
        match self.read().await {
            Ok(None) => self.complete(),
            Ok(Some(_)) => Err(Error::new(
                Kind::EndpointFailed,
                "the body exceeds its length",
            )),
            Err(error) => {
                log::debug!(error:% = error;
                    "connection was lost after a whole body; the answer is complete");
                self.complete()
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>> {
        let left = self.exchange.left();
        let resumable = self.splitter.is_some() && self.exchange.route.kind.repeatable();
        let limit = if resumable {
            left.min(STALL_LIMIT)
        } else {
            left
        };
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        match time::timeout(limit, body.next()).await {
            Ok(read) => read.map_err(|error| {
                Error::new(Kind::EndpointLost, "the answer was cut off").with_source(error)
            }),
            Err(_elapsed) if limit == left => Err(Error::new(
                Kind::Deadline,
                "the answer is not complete in time",
            )),
            Err(_elapsed) => Err(Error::new(Kind::EndpointLost, "the stream has stalled")),
        }
    }

    fn complete(&mut self) -> Result<()> {
        let between = self
            .splitter
            .as_ref()
            .is_none_or(Splitter::is_between_events);
        if !between {
            let detail = "the stream ended within an event";
            return Err(Error::new(Kind::EndpointLost, detail));
        }
        let whole = self.left.is_none_or(|left| left == 0);
        invariant::check(Point::WholeAnswer, whole, || {
            "an answer shorter than its length was taken for complete".to_owned()
        });
        if let Some(ticket) = self.ticket.take() {
            let failed = self.status >= 500;
            ticket.end(if failed {
                Ending::Failed
            } else {
                Ending::Served
            });
        }
        self.exchange.record.ended("complete");
        Ok(())
    }

    /// Continues a stream at another endpoint, or fails with the error that cut it off.
    async fn resume(&mut self, error: Error) -> Result<()> {
        // Closes the connection, so that the endpoint stops before another one goes on.
        self.body = None;
        let endpoint = self.ticket.take().map(|ticket| {
            let endpoint = ticket.choice().instance.id.clone();
            let late = error.kind() == Kind::Deadline;
            ticket.end(if late {
                Ending::Abandoned
            } else {
                Ending::Lost
            });
            endpoint
        });
        let Some(splitter) = &mut self.splitter else {
            return Err(error);
        };
        let last = splitter.last().or(self.resume_after);
        let Some(endpoint) = endpoint else {
            return Err(error);
        };
        if !self.exchange.may_continue(&endpoint).await {
            return Err(error);
        }
        let opened = self.exchange.open(last).await?;
        if opened.reply.status >= 300 {
            opened.ticket.end(Ending::Failed);
            return Err(error);
        }
        log::info!(call:? = self.exchange.call.id.as_ref().map(ToString::to_string),
            after:? = last.map(|id| id.to_string()), cause:% = error;
            "stream is continued at another endpoint");
        if let Some(splitter) = &mut self.splitter {
            splitter.restart();
        }
        self.body = Some(opened.reply.body);
        self.ticket = Some(opened.ticket);
        Ok(())
    }
}
