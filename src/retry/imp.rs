use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use crate::{id::Endpoint, unit::Share};

/// Length of time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Requests that share one counter, so that memory does not grow with the request rate.
const BUCKET: Duration = Duration::from_millis(500);
/// Part of the recent requests that may be retried.
const PORTION: f64 = 0.1;
/// Retries per window that are always allowed, so that a quiet entry can retry.
const MINIMUM: f64 = 3.0;
/// Consecutive failures that eject an endpoint.
const FAILURES: u32 = 3;
/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time from the end of an ejection until the endpoint gets its normal work again.
const RETURN: Duration = Duration::from_secs(5);
/// Part of its normal work that an endpoint gets at the end of an ejection.
const FIRST_PORTION: f64 = 0.1;

/// Decides whether a failed request may be retried.
pub trait Budget: fmt::Debug + Send {
    /// Counts a request that is not a retry.
    fn record(&mut self, now: Instant);

    /// Whether a retry is allowed. Counts it if so.
    fn may_retry(&mut self, now: Instant) -> bool;
}

/// Allows retries for 10% of the requests of the last 10 s, and three more.
#[derive(Clone, Debug, Default)]
pub struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl Window {
    /// A window without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let expired = |bucket: &Bucket| now.saturating_duration_since(bucket.start) >= WINDOW;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let current = |bucket: &Bucket| now.saturating_duration_since(bucket.start) < BUCKET;
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

impl Budget for Window {
    fn record(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    fn may_retry(&mut self, now: Instant) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(retries) + 1.0 <= f64::from(requests) * PORTION + MINIMUM;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }
}

/// Takes endpoints out of use after consecutive failures and lets them return gradually.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    health: BTreeMap<Endpoint, Health>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejector {
    /// An ejector that knows no failure.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a served request.
    pub fn served(&mut self, endpoint: &Endpoint, now: Instant) {
        if let Some(health) = self.health.get_mut(endpoint) {
            health.failures = 0;
            if health.until.is_none_or(|until| now >= until + RETURN) {
                self.health.remove(endpoint);
            }
        }
    }

    /// Records a failure and returns whether it ejects the endpoint. `pools` holds the members of
    /// each pool that the endpoint belongs to.
    ///
    /// The count of failures survives an ejection, so the first failure after a return ejects the
    /// endpoint again, for twice the time.
    pub fn failed(&mut self, endpoint: &Endpoint, pools: &[Vec<Endpoint>], now: Instant) -> bool {
        let room = pools.iter().all(|pool| {
            let others = pool.iter().filter(|other| *other != endpoint);
            let ejected = others.filter(|other| self.is_ejected(other, now)).count();
            (ejected + 1) * 2 <= pool.len()
        });
        let health = self.health.entry(endpoint.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        let already = health.until.is_some_and(|until| now < until);
        if already || !room || health.failures < FAILURES {
            return false;
        }
        let factor = 1 << health.ejections.min(5);
        health.until = Some(now + (FIRST_EJECTION * factor).min(LONGEST_EJECTION));
        health.ejections = health.ejections.saturating_add(1);
        true
    }

    /// Whether the endpoint gets no work.
    #[must_use]
    pub fn is_ejected(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let health = self.health.get(endpoint);
        health.is_some_and(|health| health.until.is_some_and(|until| now < until))
    }

    /// Part of its normal work that the endpoint gets: nothing while ejected, then from 10% to
    /// all over 5 s.
    #[must_use]
    pub fn portion(&self, endpoint: &Endpoint, now: Instant) -> Share {
        let until = self.health.get(endpoint).and_then(|health| health.until);
        let Some(until) = until else {
            return Share::new(1.0);
        };
        if now < until {
            return Share::new(0.0);
        }
        let progress = (now - until).as_secs_f64() / RETURN.as_secs_f64();
        Share::new(FIRST_PORTION + (1.0 - FIRST_PORTION) * progress)
    }

    /// Ends ejections, those that end first, until no more than half of the pool is ejected. For
    /// pools that shrink.
    pub fn relax(&mut self, pool: &[Endpoint], now: Instant) {
        let mut ejected: Vec<&Endpoint> = pool
            .iter()
            .filter(|endpoint| self.is_ejected(endpoint, now))
            .collect();
        ejected.sort_by_key(|endpoint| self.health[*endpoint].until);
        let excess = ejected.len().saturating_sub(pool.len() / 2);
        for endpoint in ejected.into_iter().take(excess) {
            if let Some(health) = self.health.get_mut(endpoint) {
                health.until = Some(now);
            }
        }
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.health.retain(|endpoint, _| known(endpoint));
    }
}
