use super::Relay;
use crate::{
    admission,
    id::{Attempt, Endpoint, Request},
    link,
};

/// Tells admission that nobody waits for its answer any more, unless the answer came.
pub(super) struct Leave(Option<(Relay, Request)>);

impl Leave {
    pub(super) fn new(relay: &Relay, request: Request) -> Self {
        Self(Some((relay.clone(), request)))
    }

    pub(super) fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for Leave {
    fn drop(&mut self) {
        if let Some((relay, request)) = self.0.take() {
            relay.ports.leave.do_send(admission::Finish(request));
        }
    }
}

/// Withdraws an attempt whose caller leaves before the attempt is known to be sent. Without it, the
/// endpoint would work on the attempt until its first part finds no receiver.
pub(super) struct Withdraw(Option<(Relay, link::Cancel)>);

impl Withdraw {
    pub(super) fn new(relay: &Relay, endpoint: &Endpoint, attempt: Attempt) -> Self {
        let cancel = link::Cancel {
            endpoint: endpoint.clone(),
            attempt,
        };
        Self(Some((relay.clone(), cancel)))
    }

    pub(super) fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        if let Some((relay, cancel)) = self.0.take() {
            relay.ports.cancel.do_send(cancel);
        }
    }
}
