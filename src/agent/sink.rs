use actix::Addr;

use super::orders;
use crate::{
    ledger::{self, Ledger},
    link::{
        ConnectionClosed, ConnectionHandler, ConnectionOpened, ConnectionRegistry,
        GoAwayAcknowledged, Outbox, Peer,
    },
    spread::{DocumentHolder, OfferDocument, PeerRevision, SendDocument},
    wire::{Frame, Lookup, Outcome, Recorded},
    work::{CancelAttempt, Connected, Credit, Disconnected, StartAttempt, Worker},
};

/// Dispatches frames from entries to the actors of the agent.
pub(super) struct FrameDispatcher {
    pub(super) registry: Addr<ConnectionRegistry>,
    pub(super) worker: Addr<Worker>,
    pub(super) holder: Addr<DocumentHolder>,
    pub(super) orders: Addr<orders::Dispatcher>,
    /// `None` for an engine, whose requests may safely run twice.
    pub(super) ledger: Option<Addr<Ledger>>,
}

impl FrameDispatcher {
    /// Looks up the recorded outcome for an idempotency key and sends it to the entry.
    fn look_up(&self, lookup: Lookup, outbox: Outbox) {
        let message = ledger::Lookup {
            caller: lookup.caller,
            service: lookup.service,
            operation: lookup.operation,
            key: lookup.key,
        };
        let request = lookup.request;
        let response = self.ledger.as_ref().map(|ledger| ledger.send(message));
        tokio::task::spawn_local(async move {
            let recorded = match response {
                Some(response) => response.await.unwrap_or(Recorded::Unavailable),
                None => Recorded::Absent,
            };
            outbox.send(Frame::Outcome(Outcome { request, recorded }));
        });
    }
}

impl ConnectionHandler for FrameDispatcher {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        self.registry
            .do_send(ConnectionOpened(peer.session, outbox.clone()));
        self.worker.do_send(Connected(peer.session, outbox.clone()));
        let observe = PeerRevision {
            revision: peer.hello.revision,
            outbox: outbox.clone(),
        };
        self.holder.do_send(observe);
    }

    fn on_frame(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        let (session, outbox) = (peer.session, outbox.clone());
        match frame {
            Frame::Submit(submit) => self.worker.do_send(StartAttempt {
                session,
                outbox,
                submit,
            }),
            Frame::Credit(credit) => {
                self.worker.do_send(Credit {
                    attempt: credit.attempt,
                    bytes: credit.bytes,
                });
            }
            Frame::Cancel(cancel) => self.worker.do_send(CancelAttempt(cancel.attempt)),
            Frame::Heartbeat(revision) => self.holder.do_send(PeerRevision { revision, outbox }),
            Frame::Fetch(fetch) => self.holder.do_send(SendDocument {
                have: fetch.have,
                outbox,
            }),
            Frame::Document(document) => self.holder.do_send(OfferDocument(document)),
            Frame::Order(order) => self.orders.do_send(orders::Received(order, outbox)),
            Frame::Lookup(lookup) => self.look_up(lookup, outbox),
            Frame::GoAway => self.registry.do_send(GoAwayAcknowledged(session)),
            _ => log::warn!(peer:% = peer.hello.process; "entry sent an unexpected frame"),
        }
    }

    fn on_close(&self, peer: &Peer) {
        self.registry.do_send(ConnectionClosed(peer.session));
        self.worker.do_send(Disconnected(peer.session));
    }
}
