use actix::Addr;

use crate::{
    link::{Hub, Joined, Left, Outbox, Peer, SaidBye, Sink},
    spread::{Holder, Observe, Offer, Provide},
    wire::Frame,
    work::{Begin, Credit, Gone, Greet, Withdraw, Worker},
};

/// Passes what entries send to the actors of the agent.
pub(super) struct Inbox {
    pub(super) hub: Addr<Hub>,
    pub(super) worker: Addr<Worker>,
    pub(super) holder: Addr<Holder>,
}

impl Sink for Inbox {
    fn opened(&self, peer: &Peer, outbox: &Outbox) {
        self.hub.do_send(Joined(peer.session, outbox.clone()));
        self.worker.do_send(Greet(outbox.clone()));
        let observe = Observe {
            revision: peer.hello.revision,
            outbox: outbox.clone(),
        };
        self.holder.do_send(observe);
    }

    fn arrived(&self, peer: &Peer, frame: Frame, outbox: &Outbox) {
        let (session, outbox) = (peer.session, outbox.clone());
        match frame {
            Frame::Submit(submit) => self.worker.do_send(Begin {
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
            Frame::Cancel(cancel) => self.worker.do_send(Withdraw(cancel.attempt)),
            Frame::Beat(revision) => self.holder.do_send(Observe { revision, outbox }),
            Frame::Fetch(fetch) => self.holder.do_send(Provide {
                have: fetch.have,
                outbox,
            }),
            Frame::Document(document) => self.holder.do_send(Offer(document)),
            Frame::Bye => self.hub.do_send(SaidBye(session)),
            _ => log::warn!(process:% = peer.hello.process; "entry sent an unexpected frame"),
        }
    }

    fn closed(&self, peer: &Peer) {
        self.hub.do_send(Left(peer.session));
        self.worker.do_send(Gone(peer.session));
    }
}
