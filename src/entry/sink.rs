use std::cell::OnceCell;

use actix::Addr;

use crate::{
    link::{ConnectionHandler, Outbox, Peer},
    reconcile::{self, Reconciler},
    routing::{self, Router},
    spread::{DocumentHolder, OfferDocument, PeerRevision, SendDocument},
    wire::Frame,
};

/// Dispatches frames from agents, except answers, to the actors of the entry.
pub(super) struct FrameDispatcher {
    router: Addr<Router>,
    holder: Addr<DocumentHolder>,
    /// Set after construction, because the reconciler needs the connection pool, which in turn
    /// needs this sink.
    reconciler: OnceCell<Addr<Reconciler>>,
}

impl FrameDispatcher {
    pub(super) const fn new(router: Addr<Router>, holder: Addr<DocumentHolder>) -> Self {
        Self {
            router,
            holder,
            reconciler: OnceCell::new(),
        }
    }

    pub(super) fn set_reconciler(&self, reconciler: Addr<Reconciler>) {
        let already_set = self.reconciler.set(reconciler).is_err();
        debug_assert!(!already_set, "the reconciler is set once");
    }
}

impl ConnectionHandler for FrameDispatcher {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        let observe = PeerRevision {
            revision: peer.hello.revision,
            outbox: outbox.clone(),
        };
        self.holder.do_send(observe);
    }

    fn on_frame(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        match frame {
            Frame::Report(report) => {
                let observe = PeerRevision {
                    revision: report.revision,
                    outbox: outbox.clone(),
                };
                self.holder.do_send(observe);
                if let Some(reconciler) = self.reconciler.get() {
                    reconciler.do_send(reconcile::ReportReceived(report.clone()));
                }
                self.router.do_send(routing::LoadReport(report));
            }
            Frame::Done(done) => {
                if let Some(reconciler) = self.reconciler.get() {
                    reconciler.do_send(reconcile::OrderAnswered(done));
                }
            }
            Frame::Fetch(fetch) => {
                self.holder.do_send(SendDocument {
                    have: fetch.have,
                    outbox: outbox.clone(),
                });
            }
            Frame::Document(document) => self.holder.do_send(OfferDocument(document)),
            _ => log::warn!(peer:% = peer.hello.process; "agent sent an unexpected frame"),
        }
    }

    fn on_close(&self, peer: &Peer) {
        log::info!(peer:% = peer.hello.process; "connection to the agent closed");
    }
}
