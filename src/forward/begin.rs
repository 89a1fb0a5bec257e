use std::time::Instant;

use actix::Recipient;

use super::Call;
use crate::{id::Caller, usage::RequestBegun};

/// Reports once that a request has begun to run.
///
/// A plain service gives no sign of its begin, so its requests are counted as of when they were sent,
/// unless the endpoint says that it has not run them. If the caller leaves first, it may have.
#[derive(Debug)]
pub(super) struct Begin {
    counter: Option<(Recipient<RequestBegun>, Caller)>,
    sent_at: Option<Instant>,
}

impl Begin {
    /// Counts `call`, if it belongs to a customer and counts are asked for.
    pub(super) fn new(call: &Call, counter: Option<Recipient<RequestBegun>>) -> Self {
        let customer = call.customer.as_ref();
        Self::for_customer(customer.map(|customer| customer.name.clone()), counter)
    }

    pub(super) fn for_customer(
        customer: Option<Caller>,
        counter: Option<Recipient<RequestBegun>>,
    ) -> Self {
        Self {
            counter: counter.zip(customer),
            sent_at: None,
        }
    }

    /// Notes that the request is sent to a plain service.
    pub(super) fn sent(&mut self, at: Instant) {
        self.sent_at.get_or_insert(at);
    }

    /// Notes that the endpoint has not run the request.
    pub(super) fn not_run(&mut self) {
        self.sent_at = None;
    }

    /// Counts the request as of when it was sent, or as of `at` if it has no such time.
    pub(super) fn began(&mut self, at: Instant) {
        let at = self.sent_at.take().unwrap_or(at);
        if let Some((counter, customer)) = self.counter.take() {
            counter.do_send(RequestBegun { customer, at });
        }
    }
}

impl Drop for Begin {
    fn drop(&mut self) {
        if let Some(at) = self.sent_at {
            self.began(at);
        }
    }
}
