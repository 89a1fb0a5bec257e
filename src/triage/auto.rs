use std::time::Instant;

use super::{ByCost, Outlook, Policy, Reject, Request, Verdict};
use crate::{id::Service, unit::Tokens};

/// Rejects like [`Reject`] until there is a request of a customer, and decides like [`ByCost`] from then
/// on.
///
/// Customers have ranks of their own, so requests of very different kinds share a rank, and the rank alone
/// no longer tells which of them can wait.
#[derive(Debug)]
pub struct Auto {
    policy: Box<dyn Policy>,
    by_cost: bool,
}

impl Default for Auto {
    fn default() -> Self {
        Self {
            policy: Box::new(Reject::default()),
            by_cost: false,
        }
    }
}

impl Policy for Auto {
    fn record(&mut self, request: &Request<'_>, now: Instant) {
        if !self.by_cost && request.customer.is_some() {
            log::info!("requests have customers; overload is handled by cost");
            self.policy = Box::new(ByCost::default());
            self.by_cost = true;
        }
        self.policy.record(request, now);
    }

    fn record_prefill(&mut self, service: &Service, tokens: Tokens, now: Instant) {
        self.policy.record_prefill(service, tokens, now);
    }

    fn record_ending(&mut self, request: &Request<'_>, served: bool, now: Instant) {
        self.policy.record_ending(request, served, now);
    }

    fn rank(&self, request: &Request<'_>, now: Instant) -> u8 {
        self.policy.rank(request, now)
    }

    fn decide(&mut self, request: &Request<'_>, outlook: Outlook, now: Instant) -> Verdict {
        self.policy.decide(request, outlook, now)
    }
}
