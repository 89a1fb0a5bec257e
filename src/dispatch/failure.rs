use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{id::Endpoint, link::Session};

/// Failures of an endpoint within this time, seen by several processes, count as one outage.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Processes that must report an endpoint within [`CORRELATION_WINDOW`] to start a backoff, unless
/// the endpoint is on probation. A single process may have lost its own network.
const REPORTERS_MIN: usize = 2;
/// First backoff of an endpoint. Each further one is twice as long, up to [`BACKOFF_MAX`].
const BACKOFF_INITIAL: Duration = Duration::from_secs(1);
/// Longest backoff. The service directory removes a dead endpoint after about this time, when its
/// entry expires, so a longer backoff would only delay the use of an endpoint that has recovered.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time after a backoff until the probation of the endpoint ends. On probation, which includes the
/// backoff, the failure report of a single process starts the next backoff.
const PROBATION: Duration = Duration::from_secs(5);

/// Process that reported a failure: `None` for this process, else the id of the connection to the
/// peer process.
pub(super) type Reporter = Option<Session>;

/// Correlates the endpoint failures that this process and its peers report.
#[derive(Debug, Default)]
pub(super) struct FailureReports {
    endpoints: BTreeMap<Endpoint, State>,
}

#[derive(Debug, Default)]
struct State {
    reporters: BTreeMap<Reporter, Instant>,
    backoffs: u32,
    probation_until: Option<Instant>,
}

impl FailureReports {
    /// Records a failure of `endpoint`. Returns the backoff to apply if enough credible processes
    /// have reported the endpoint within [`CORRELATION_WINDOW`]. `service_endpoints` are all
    /// endpoints of the same service.
    pub(super) fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        reporter: Reporter,
        service_endpoints: &[Endpoint],
        now: Instant,
    ) -> Option<Duration> {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.reporters.insert(reporter, now);
        state
            .reporters
            .retain(|_, at| now.saturating_duration_since(*at) < CORRELATION_WINDOW);
        let on_probation = state.probation_until.is_some_and(|until| now < until);
        let needed = if on_probation { 1 } else { REPORTERS_MIN };
        let reporters: Vec<Reporter> = state.reporters.keys().copied().collect();
        let credible = reporters
            .into_iter()
            .filter(|reporter| self.is_credible(*reporter, service_endpoints, now));
        if credible.count() < needed {
            return None;
        }
        let state = self.endpoints.get_mut(endpoint)?;
        let backoff = (BACKOFF_INITIAL * (1 << state.backoffs.min(4))).min(BACKOFF_MAX);
        state.backoffs += 1;
        state.reporters.clear();
        state.probation_until = Some(now + backoff + PROBATION);
        Some(backoff)
    }

    /// Removes the failures, the number of backoffs and the probation of an endpoint that has
    /// served a request of this process.
    pub(super) fn record_success(&mut self, endpoint: &Endpoint) {
        self.endpoints.remove(endpoint);
    }

    /// Removes endpoints for which `known` returns false.
    pub(super) fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }

    /// Returns whether the reports of a process count: it must have reported at most half of the
    /// endpoints of the service within [`CORRELATION_WINDOW`]. A process that has reported more has
    /// more likely lost its own network. Reports that have led to a backoff are not included. With
    /// up to two endpoints this cannot be decided, and all processes count as credible.
    fn is_credible(
        &self,
        reporter: Reporter,
        service_endpoints: &[Endpoint],
        now: Instant,
    ) -> bool {
        let failed = service_endpoints.iter().filter(|endpoint| {
            let state = self.endpoints.get(*endpoint);
            let at = state.and_then(|state| state.reporters.get(&reporter));
            at.is_some_and(|at| now.saturating_duration_since(*at) < CORRELATION_WINDOW)
        });
        service_endpoints.len() <= 2 || failed.count() * 2 <= service_endpoints.len()
    }
}
