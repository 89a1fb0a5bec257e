use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{id::Endpoint, link::Session};

/// Failures of an endpoint within this time, seen by several processes, count as one outage.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Processes that must see an endpoint fail before it is taken out of use. A single process may
/// have lost its own network.
const REPORTERS_MIN: usize = 2;
/// First backoff of such an endpoint. Each further backoff is twice as long.
const BACKOFF_INITIAL: Duration = Duration::from_secs(1);
/// Longest backoff, about the time in which the directory entry of a dead endpoint expires.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time after a backoff in which the failure report of a single process starts the next one.
const PROBATION: Duration = Duration::from_secs(5);

/// The process that saw a failure: `None` for this process, else the link to the peer.
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
    /// Records a failure. Returns the backoff of the endpoint if enough credible processes have
    /// reported it. `pool` holds all endpoints of its service.
    pub(super) fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        reporter: Reporter,
        pool: &[Endpoint],
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
            .filter(|reporter| self.is_credible(*reporter, pool, now));
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

    /// Clears the failures of an endpoint that has served a request of this process.
    pub(super) fn record_success(&mut self, endpoint: &Endpoint) {
        self.endpoints.remove(endpoint);
    }

    /// Removes endpoints for which `known` returns false.
    pub(super) fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }

    /// Returns whether a process sees at most half of a pool fail. A process that sees more has
    /// more likely lost its own network. Pools of up to two endpoints are too small to tell.
    fn is_credible(&self, reporter: Reporter, pool: &[Endpoint], now: Instant) -> bool {
        let failed = pool.iter().filter(|endpoint| {
            let state = self.endpoints.get(*endpoint);
            let at = state.and_then(|state| state.reporters.get(&reporter));
            at.is_some_and(|at| now.saturating_duration_since(*at) < CORRELATION_WINDOW)
        });
        pool.len() <= 2 || failed.count() * 2 <= pool.len()
    }
}
