use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{id::Endpoint, link::Session};

/// Time within which failures that several processes see are taken for one event.
const WINDOW: Duration = Duration::from_secs(1);
/// Processes that must have seen an endpoint fail. One alone may have lost its own network.
const SOURCES: usize = 2;
/// First time for which such an endpoint gets no requests. Twice as long after each further alarm.
const FIRST_REST: Duration = Duration::from_secs(1);
/// Longest such time, about the time after which the entry of a dead endpoint has lapsed.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Time after a rest in which one failure is enough for the next one.
const SUSPICION: Duration = Duration::from_secs(5);

/// Who has seen a failure: this process, or the one at the other end of a link.
pub(super) type Source = Option<Session>;

/// Failures of endpoints as this process and others see them.
#[derive(Debug, Default)]
pub(super) struct Alarms {
    endpoints: BTreeMap<Endpoint, State>,
}

#[derive(Debug, Default)]
struct State {
    sources: BTreeMap<Source, Instant>,
    rests: u32,
    suspect_until: Option<Instant>,
}

impl Alarms {
    /// Notes a failure. Returns for how long the endpoint is to get no requests, if it is.
    pub(super) fn raise(
        &mut self,
        endpoint: &Endpoint,
        source: Source,
        pool: &[Endpoint],
        now: Instant,
    ) -> Option<Duration> {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.sources.insert(source, now);
        state
            .sources
            .retain(|_, at| now.saturating_duration_since(*at) < WINDOW);
        let suspect = state.suspect_until.is_some_and(|until| now < until);
        let needed = if suspect { 1 } else { SOURCES };
        let sources: Vec<Source> = state.sources.keys().copied().collect();
        let credible = sources
            .into_iter()
            .filter(|source| self.is_credible(*source, pool, now));
        if credible.count() < needed {
            return None;
        }
        let state = self.endpoints.get_mut(endpoint)?;
        let rest = (FIRST_REST * (1 << state.rests.min(4))).min(LONGEST_REST);
        state.rests += 1;
        state.sources.clear();
        state.suspect_until = Some(now + rest + SUSPICION);
        Some(rest)
    }

    /// Notes that an endpoint has served a request of this process.
    pub(super) fn served(&mut self, endpoint: &Endpoint) {
        self.endpoints.remove(endpoint);
    }

    /// Forgets endpoints that are gone.
    pub(super) fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }

    /// Whether a process does not see more than half of a pool fail. Such a process has more likely
    /// lost its own network.
    fn is_credible(&self, source: Source, pool: &[Endpoint], now: Instant) -> bool {
        let seen = pool.iter().filter(|endpoint| {
            let state = self.endpoints.get(*endpoint);
            let at = state.and_then(|state| state.sources.get(&source));
            at.is_some_and(|at| now.saturating_duration_since(*at) < WINDOW)
        });
        pool.len() <= 2 || seen.count() * 2 <= pool.len()
    }
}
