use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use crate::{id::Endpoint, unit::Share};

/// Time over which requests and retries are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(10);
/// Time covered by one pair of counters, so that memory does not grow with the request rate.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);
/// Retries allowed per request in the window.
const RETRY_RATIO: f64 = 0.1;
/// Retries allowed per window besides the ratio, so that a process with few requests can retry.
const RETRIES_MIN: f64 = 3.0;
/// Consecutive failures that eject an endpoint.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection. Each further ejection is twice as long.
const EJECTION_INITIAL: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time from the end of an ejection until the endpoint gets its full traffic again.
const RAMP_UP: Duration = Duration::from_secs(5);
/// Fraction of its full traffic that an endpoint gets when an ejection ends.
const RAMP_UP_INITIAL_SHARE: f64 = 0.1;

/// Limits retries in relation to requests.
pub trait Budget: fmt::Debug + Send {
    /// Counts a first attempt.
    fn record(&mut self, now: Instant);

    /// Returns whether a retry is allowed, and counts it if so.
    fn may_retry(&mut self, now: Instant) -> bool;
}

/// A sliding-window budget: allows retries for 10% of the requests of the last 10 s, plus three.
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl WindowBudget {
    /// Creates a budget without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the bucket for `now` after removing expired ones.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let expired =
            |bucket: &Bucket| now.saturating_duration_since(bucket.start) >= WINDOW_LENGTH;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let current = |bucket: &Bucket| now.saturating_duration_since(bucket.start) < BUCKET_LENGTH;
        if !self.buckets.back().is_some_and(current) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

impl Budget for WindowBudget {
    fn record(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    fn may_retry(&mut self, now: Instant) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(retries) + 1.0 <= f64::from(requests) * RETRY_RATIO + RETRIES_MIN;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }
}

/// Ejects endpoints after consecutive failures, and ramps up their traffic after the ejection.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    health: BTreeMap<Endpoint, Health>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Ejector {
    /// Creates an ejector without failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a served request. Resets the failure count, and after the ramp-up also the length of
    /// the next ejection.
    pub fn record_success(&mut self, endpoint: &Endpoint, now: Instant) {
        if let Some(health) = self.health.get_mut(endpoint) {
            health.failures = 0;
            if health
                .ejected_until
                .is_none_or(|until| now >= until + RAMP_UP)
            {
                self.health.remove(endpoint);
            }
        }
    }

    /// Records a failure and returns whether it ejects the endpoint. `pools` holds the members of
    /// each pool that the endpoint belongs to; at most half of each pool is ejected.
    ///
    /// The failure count persists across an ejection, so a failure before the next success ejects
    /// the endpoint again, for twice the time.
    pub fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        pools: &[Vec<Endpoint>],
        now: Instant,
    ) -> bool {
        let may_eject = pools.iter().all(|pool| {
            let others = pool.iter().filter(|other| *other != endpoint);
            let ejected = others.filter(|other| self.is_ejected(other, now)).count();
            (ejected + 1) * 2 <= pool.len()
        });
        let health = self.health.entry(endpoint.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        let is_ejected = health.ejected_until.is_some_and(|until| now < until);
        if is_ejected || !may_eject || health.failures < EJECTION_FAILURES {
            return false;
        }
        let factor = 1 << health.ejections.min(5);
        health.ejected_until = Some(now + (EJECTION_INITIAL * factor).min(EJECTION_MAX));
        health.ejections = health.ejections.saturating_add(1);
        true
    }

    /// Returns whether the endpoint is ejected, so that it gets no traffic.
    #[must_use]
    pub fn is_ejected(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let health = self.health.get(endpoint);
        health.is_some_and(|health| health.ejected_until.is_some_and(|until| now < until))
    }

    /// Fraction of its full traffic that the endpoint gets: 0 while ejected, then from 10% to all
    /// over 5 s.
    #[must_use]
    pub fn traffic_share(&self, endpoint: &Endpoint, now: Instant) -> Share {
        let until = self
            .health
            .get(endpoint)
            .and_then(|health| health.ejected_until);
        let Some(until) = until else {
            return Share::new(1.0);
        };
        if now < until {
            return Share::new(0.0);
        }
        let progress = (now - until).as_secs_f64() / RAMP_UP.as_secs_f64();
        Share::new(RAMP_UP_INITIAL_SHARE + (1.0 - RAMP_UP_INITIAL_SHARE) * progress)
    }

    /// Ends ejections early, starting with those that would end first, until at most half of the
    /// pool is ejected. Call it after a pool has shrunk.
    pub fn limit_ejections(&mut self, pool: &[Endpoint], now: Instant) {
        let mut ejected: Vec<&Endpoint> = pool
            .iter()
            .filter(|endpoint| self.is_ejected(endpoint, now))
            .collect();
        ejected.sort_by_key(|endpoint| self.health[*endpoint].ejected_until);
        let excess = ejected.len().saturating_sub(pool.len() / 2);
        for endpoint in ejected.into_iter().take(excess) {
            if let Some(health) = self.health.get_mut(endpoint) {
                health.ejected_until = Some(now);
            }
        }
    }

    /// Removes endpoints for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.health.retain(|endpoint, _| known(endpoint));
    }
}
