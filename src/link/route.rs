use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use actix::{Addr, Message};
use tokio::sync::{mpsc, oneshot};

use super::{Dialer, Event, Outbox, Peer, Pool, Session, Sink};
use crate::{
    id::{Attempt, Endpoint, Request},
    wire::{self, Frame, Outcome},
};

/// The connection to one agent, and what waits on it.
pub(super) struct Route {
    pub(super) endpoint: Endpoint,
    pub(super) up: Option<Up>,
    /// The agent is leaving and was promised no further attempts on this connection.
    pub(super) leaving: bool,
    dialer: Dialer,
    attempts: HashMap<Attempt, mpsc::UnboundedSender<Event>>,
    lookups: HashMap<Request, oneshot::Sender<Outcome>>,
}

/// An open connection.
pub(super) struct Up {
    pub(super) peer: Peer,
    pub(super) outbox: Outbox,
}

impl Drop for Route {
    fn drop(&mut self) {
        self.lose();
    }
}

impl Route {
    pub(super) fn new(endpoint: Endpoint, dialer: Dialer) -> Self {
        Self {
            endpoint,
            up: None,
            leaving: false,
            dialer,
            attempts: HashMap::new(),
            lookups: HashMap::new(),
        }
    }

    /// Where the agent listens.
    pub(super) const fn address(&self) -> SocketAddr {
        self.dialer.address()
    }

    pub(super) fn has_session(&self, session: Session) -> bool {
        self.up
            .as_ref()
            .is_some_and(|up| up.peer.session == session)
    }

    pub(super) fn waits_for(&self, attempt: Attempt) -> bool {
        self.attempts.contains_key(&attempt)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn add(&mut self, attempt: Attempt, events: mpsc::UnboundedSender<Event>) {
        self.attempts.insert(attempt, events);
    }

    /// Forgets an attempt and withdraws it from the agent.
    pub(super) fn withdraw(&mut self, attempt: Attempt) {
        self.attempts.remove(&attempt);
        if let Some(up) = &self.up {
            up.outbox.send(Frame::Cancel(wire::Cancel { attempt }));
        }
    }

    /// Adds a question, and drops those whose askers gave up.
    pub(super) fn ask(&mut self, request: Request, answer: oneshot::Sender<Outcome>) {
        self.lookups
            .retain(|_request, waiting| !waiting.is_closed());
        self.lookups.insert(request, answer);
    }

    pub(super) fn answer(&mut self, outcome: Outcome) {
        if let Some(waiting) = self.lookups.remove(&outcome.request) {
            // The asker may have gone away.
            let _closed = waiting.send(outcome);
        }
    }

    /// Ends what waits on a connection that is gone.
    pub(super) fn lose(&mut self) {
        self.up = None;
        self.leaving = false;
        self.lookups.clear();
        for (_attempt, events) in self.attempts.drain() {
            // A receiver that is gone has no interest in the loss.
            let _closed = events.send(Event::Lost);
        }
    }

    /// Passes an event to its attempt. Events of attempts that were given up are dropped here.
    pub(super) fn pass(&mut self, attempt: Attempt, event: Event) {
        let last = !matches!(event, Event::Chunk(_));
        let Some(events) = self.attempts.get(&attempt) else {
            return;
        };
        let gone = events.send(event).is_err();
        if last {
            self.attempts.remove(&attempt);
        } else if gone {
            self.withdraw(attempt);
        }
    }
}

/// Passes what arrives on one connection to the pool.
pub(super) struct Forwarder {
    pub(super) endpoint: Endpoint,
    pub(super) pool: Addr<Pool>,
    pub(super) sink: Rc<dyn Sink>,
}

impl Sink for Forwarder {
    fn opened(&self, peer: &Peer, outbox: &Outbox) {
        self.pool
            .do_send(Opened(self.endpoint.clone(), peer.clone(), outbox.clone()));
        self.sink.opened(peer, outbox);
    }

    fn arrived(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        let (attempt, event) = match frame {
            Frame::Chunk(chunk) => (chunk.attempt, Event::Chunk(chunk)),
            Frame::End(end) => (end.attempt, Event::End(end)),
            Frame::Fail(fail) => (fail.attempt, Event::Fail(fail)),
            Frame::Outcome(outcome) => return self.pool.do_send(Found(peer.session, outcome)),
            Frame::Report(report) if report.endpoint != self.endpoint => {
                let expected = &self.endpoint;
                let found = &report.endpoint;
                return log::error!(endpoint:% = expected, found:% = found;
                    "the agent at this address belongs to another endpoint");
            }
            Frame::GoAway => return self.pool.do_send(Leaving(peer.session)),
            other => return self.sink.arrived(peer, other, outbox),
        };
        self.pool.do_send(Arrived(peer.session, attempt, event));
    }

    fn closed(&self, peer: &Peer) {
        self.pool.do_send(Closed(peer.session));
        self.sink.closed(peer);
    }
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Opened(pub(super) Endpoint, pub(super) Peer, pub(super) Outbox);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Arrived(pub(super) Session, pub(super) Attempt, pub(super) Event);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Found(pub(super) Session, pub(super) Outcome);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Closed(pub(super) Session);

/// The agent takes no new attempts on a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Leaving(pub(super) Session);
