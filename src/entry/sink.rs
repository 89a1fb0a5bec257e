use std::cell::OnceCell;

use actix::Addr;

use crate::{
    link::{Outbox, Peer, Sink},
    reconcile::{self, Reconciler},
    routing::{self, Router},
    spread::{Holder, Observe, Offer, Provide},
    wire::Frame,
};

/// Passes what agents send, other than answers, to the actors of the entry.
pub(super) struct Inbox {
    router: Addr<Router>,
    holder: Addr<Holder>,
    /// Set after the connections, through which the reconciler in turn sends its orders.
    reconciler: OnceCell<Addr<Reconciler>>,
}

impl Inbox {
    pub(super) const fn new(router: Addr<Router>, holder: Addr<Holder>) -> Self {
        Self {
            router,
            holder,
            reconciler: OnceCell::new(),
        }
    }

    pub(super) fn connect(&self, reconciler: Addr<Reconciler>) {
        let again = self.reconciler.set(reconciler).is_err();
        debug_assert!(!again, "the inbox is connected once");
    }
}

impl Sink for Inbox {
    fn opened(&self, peer: &Peer, outbox: &Outbox) {
        let observe = Observe {
            revision: peer.hello.revision,
            outbox: outbox.clone(),
        };
        self.holder.do_send(observe);
    }

    fn arrived(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        match frame {
            Frame::Report(report) => {
                let observe = Observe {
                    revision: report.revision,
                    outbox: outbox.clone(),
                };
                self.holder.do_send(observe);
                if let Some(reconciler) = self.reconciler.get() {
                    reconciler.do_send(reconcile::Noticed(report.clone()));
                }
                self.router.do_send(routing::Observe(report));
            }
            Frame::Done(done) => {
                if let Some(reconciler) = self.reconciler.get() {
                    reconciler.do_send(reconcile::Finished(done));
                }
            }
            Frame::Fetch(fetch) => {
                self.holder.do_send(Provide {
                    have: fetch.have,
                    outbox: outbox.clone(),
                });
            }
            Frame::Document(document) => self.holder.do_send(Offer(document)),
            _ => log::warn!(peer:% = peer.hello.process; "agent sent an unexpected frame"),
        }
    }

    fn closed(&self, peer: &Peer) {
        log::info!(peer:% = peer.hello.process; "connection to the agent is closed");
    }
}
