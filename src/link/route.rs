use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use actix::{Addr, Message};
use tokio::sync::{mpsc, oneshot};

use super::{ConnectionHandler, Dialer, Event, Outbox, Peer, Pool, Session};
use crate::{
    id::{Attempt, Endpoint, Request},
    wire::{self, Frame, Outcome},
};

/// The connection to one agent, with the attempts and lookups in progress on it.
pub(super) struct Route {
    pub(super) endpoint: Endpoint,
    pub(super) connection: Option<Connection>,
    /// The agent sent `GoAway`; no further attempts are sent on this connection.
    pub(super) leaving: bool,
    dialer: Dialer,
    attempts: HashMap<Attempt, mpsc::UnboundedSender<Event>>,
    lookups: HashMap<Request, oneshot::Sender<Outcome>>,
}

/// An open connection.
pub(super) struct Connection {
    pub(super) peer: Peer,
    pub(super) outbox: Outbox,
}

impl Drop for Route {
    fn drop(&mut self) {
        self.disconnect();
    }
}

impl Route {
    pub(super) fn new(endpoint: Endpoint, dialer: Dialer) -> Self {
        Self {
            endpoint,
            connection: None,
            leaving: false,
            dialer,
            attempts: HashMap::new(),
            lookups: HashMap::new(),
        }
    }

    /// Address of the agent.
    pub(super) const fn address(&self) -> SocketAddr {
        self.dialer.address()
    }

    pub(super) fn has_session(&self, session: Session) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.peer.session == session)
    }

    pub(super) fn has_attempt(&self, attempt: Attempt) -> bool {
        self.attempts.contains_key(&attempt)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn add_attempt(&mut self, attempt: Attempt, events: mpsc::UnboundedSender<Event>) {
        self.attempts.insert(attempt, events);
    }

    /// Stops tracking an attempt and cancels it at the agent.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.attempts.remove(&attempt);
        if let Some(connection) = &self.connection {
            connection
                .outbox
                .send(Frame::Cancel(wire::Cancel { attempt }));
        }
    }

    /// Adds a lookup, and removes those whose receivers were dropped.
    pub(super) fn add_lookup(&mut self, request: Request, sender: oneshot::Sender<Outcome>) {
        self.lookups.retain(|_request, sender| !sender.is_closed());
        self.lookups.insert(request, sender);
    }

    pub(super) fn complete_lookup(&mut self, outcome: Outcome) {
        if let Some(sender) = self.lookups.remove(&outcome.request) {
            // The receiver may have been dropped.
            let _closed = sender.send(outcome);
        }
    }

    /// Handles a lost connection: drops its lookups and sends [`Event::Disconnected`] to its
    /// attempts.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
        self.leaving = false;
        self.lookups.clear();
        for (_attempt, events) in self.attempts.drain() {
            // The receiver may have been dropped.
            let _closed = events.send(Event::Disconnected);
        }
    }

    /// Sends an event to the receiver of its attempt. Drops events of canceled attempts, and
    /// cancels an attempt whose receiver was dropped.
    pub(super) fn deliver(&mut self, attempt: Attempt, event: Event) {
        let last = !matches!(event, Event::Chunk(_));
        let Some(events) = self.attempts.get(&attempt) else {
            return;
        };
        let receiver_dropped = events.send(event).is_err();
        if last {
            self.attempts.remove(&attempt);
        } else if receiver_dropped {
            self.cancel(attempt);
        }
    }
}

/// Forwards the events of one connection to the pool, and frames of no attempt to `sink`.
pub(super) struct Forwarder {
    pub(super) endpoint: Endpoint,
    pub(super) pool: Addr<Pool>,
    pub(super) sink: Rc<dyn ConnectionHandler>,
}

impl ConnectionHandler for Forwarder {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        self.pool
            .do_send(Opened(self.endpoint.clone(), peer.clone(), outbox.clone()));
        self.sink.on_open(peer, outbox);
    }

    fn on_frame(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        let (attempt, event) = match frame {
            Frame::Chunk(chunk) => (chunk.attempt, Event::Chunk(chunk)),
            Frame::End(end) => (end.attempt, Event::End(end)),
            Frame::Fail(fail) => (fail.attempt, Event::Fail(fail)),
            Frame::Outcome(outcome) => {
                return self.pool.do_send(LookupCompleted(peer.session, outcome));
            }
            Frame::Report(report) if report.endpoint != self.endpoint => {
                let expected = &self.endpoint;
                let found = &report.endpoint;
                return log::error!(endpoint:% = expected, found:% = found;
                    "agent reports for another endpoint; report ignored");
            }
            Frame::GoAway => return self.pool.do_send(GoAwayReceived(peer.session)),
            other => return self.sink.on_frame(peer, other, outbox),
        };
        self.pool
            .do_send(AttemptEvent(peer.session, attempt, event));
    }

    fn on_close(&self, peer: &Peer) {
        self.pool.do_send(Closed(peer.session));
        self.sink.on_close(peer);
    }
}

/// A connection to the agent of an endpoint was opened.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Opened(pub(super) Endpoint, pub(super) Peer, pub(super) Outbox);

/// An event of an attempt arrived on a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct AttemptEvent(pub(super) Session, pub(super) Attempt, pub(super) Event);

/// The response to a lookup arrived on a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LookupCompleted(pub(super) Session, pub(super) Outcome);

/// A connection was closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Closed(pub(super) Session);

/// The agent of a connection sent `GoAway`.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct GoAwayReceived(pub(super) Session);
