use super::Relay;
use crate::{
    admission,
    id::{Attempt, Endpoint, Request},
    link,
};

/// Removes a request from the admission queue when dropped, unless it was answered.
pub(super) struct OfferGuard(Option<(Relay, Request)>);

impl OfferGuard {
    pub(super) fn new(relay: &Relay, request: Request) -> Self {
        Self(Some((relay.clone(), request)))
    }

    pub(super) fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for OfferGuard {
    fn drop(&mut self) {
        if let Some((relay, request)) = self.0.take() {
            relay
                .ports
                .withdraw_offer
                .do_send(admission::ReleaseSlot(request));
        }
    }
}

/// Cancels an attempt when dropped, unless its submission was acknowledged. Otherwise, after the
/// caller disconnects, the endpoint would work on the attempt until its first chunk finds no
/// receiver.
pub(super) struct SubmitGuard(Option<(Relay, link::Cancel)>);

impl SubmitGuard {
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

impl Drop for SubmitGuard {
    fn drop(&mut self) {
        if let Some((relay, cancel)) = self.0.take() {
            relay.ports.cancel.do_send(cancel);
        }
    }
}
