use std::{collections::BTreeMap, time::Duration};

use crate::id::Caller;

/// Time of an equal share by which a customer may be ahead.
const AHEAD_MAX: Duration = Duration::from_secs(1);
/// Mean requests by which a customer may be ahead. A process of a large fleet sees a small customer
/// once in some seconds, so that single requests are most of its work.
const REQUESTS_AHEAD_MAX: f64 = 3.0;
/// Multiple of the allowance up to which work ahead is remembered, so that a customer is back at its
/// share soon after a burst.
const REMEMBERED_FACTOR: f64 = 4.0;

/// Shares of the customers in the work of a service, by virtual token counters as in start-time fair
/// queueing.
///
/// Each customer has a counter of the work that it was admitted with. The virtual time is the counter
/// of a customer that gets exactly an equal share: it advances by the processed work, divided among the
/// customers that are ahead of it. A customer that falls behind it is lifted to it at its next request,
/// so that nobody saves up a share, and what one leaves goes to the others at once.
#[derive(Debug, Default)]
pub(super) struct Shares {
    virtual_time: f64,
    counters: BTreeMap<Caller, f64>,
}

impl Shares {
    /// Adds the work of an admitted request.
    pub(super) fn admit(&mut self, customer: &Caller, work: f64, allowance: f64) {
        let counter = self.counters.entry(customer.clone()).or_insert(0.0);
        let limit = self.virtual_time + (allowance * REMEMBERED_FACTOR).max(work);
        *counter = (counter.max(self.virtual_time) + work).min(limit);
    }

    /// Advances the virtual time by work that was processed.
    pub(super) fn advance(&mut self, work: f64) {
        self.virtual_time += work / self.active();
        let now = self.virtual_time;
        self.counters.retain(|_, counter| *counter > now);
    }

    /// Work by which a customer may be ahead, if `rate` is processed per second.
    pub(super) fn allowance(&self, rate: f64, mean_work: f64) -> f64 {
        rate / self.active() * AHEAD_MAX.as_secs_f64() + mean_work * REQUESTS_AHEAD_MAX
    }

    /// Whether a customer is ahead of an equal share by more than the allowance. A single customer has
    /// nobody to leave a share to.
    pub(super) fn is_ahead(&self, customer: &Caller, allowance: f64) -> bool {
        let counter = self.counters.get(customer);
        self.counters.len() > 1
            && counter.is_some_and(|counter| *counter - self.virtual_time > allowance)
    }

    /// Customers that are ahead of the virtual time, at least 1.
    fn active(&self) -> f64 {
        crate::unit::as_f64(self.counters.len().max(1) as u64)
    }
}
