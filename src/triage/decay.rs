use std::time::{Duration, Instant};

/// Half-life of the counts by kind, size and customer: long enough that a customer with one request in
/// some seconds is judged by more than its last one.
const TALLY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Requests that are assumed to have been served besides those that were seen.
const TALLY_PRIOR: f64 = 1.0;

/// A sum in which older amounts count less.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decaying {
    sum: f64,
    updated: Instant,
    half_life: Duration,
}

impl Decaying {
    pub(super) const fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated: now,
            half_life,
        }
    }

    pub(super) fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.get(now) + amount;
        self.updated = self.updated.max(now);
    }

    pub(super) fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.sum * 0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64())
    }

    /// Amount per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.get(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}

/// How many of the recent requests of a group were served. Those that wait or run are not counted yet: a
/// request that starves in the queue of an endpoint is known as unserved only at its deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tally {
    ended: Decaying,
    served: Decaying,
}

impl Tally {
    pub(super) const fn new(now: Instant) -> Self {
        let none = Decaying::new(TALLY_HALF_LIFE, now);
        Self {
            ended: none,
            served: none,
        }
    }

    pub(super) fn add(&mut self, served: bool, now: Instant) {
        self.ended.add(1.0, now);
        if served {
            self.served.add(1.0, now);
        }
    }

    /// Share of the requests that were served; 1 without requests.
    pub(super) fn ratio(&self, now: Instant) -> f64 {
        (self.served.get(now) + TALLY_PRIOR) / (self.ended.get(now) + TALLY_PRIOR)
    }
}

/// The smallest of the values in a sliding window, which is a standing value: one that stays high did
/// not fall once in all of the window.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlidingMin {
    half: Duration,
    started: Instant,
    current: Lowest,
    previous: Lowest,
}

#[derive(Clone, Copy, Debug)]
struct Lowest {
    value: f64,
    count: u32,
}

impl Lowest {
    const NONE: Self = Self {
        value: f64::INFINITY,
        count: 0,
    };
}

impl SlidingMin {
    pub(super) fn new(window: Duration, now: Instant) -> Self {
        Self {
            half: window / 2,
            started: now,
            current: Lowest::NONE,
            previous: Lowest::NONE,
        }
    }

    pub(super) fn record(&mut self, value: f64, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        if age >= self.half {
            let is_adjacent = age < self.half * 2;
            self.previous = if is_adjacent {
                self.current
            } else {
                Lowest::NONE
            };
            self.current = Lowest::NONE;
            self.started = now;
        }
        self.current.value = self.current.value.min(value);
        self.current.count += 1;
    }

    /// The smallest value, if there were at least `count` in the window, which may have begun half a
    /// window earlier.
    pub(super) fn get(&self, count: u32, now: Instant) -> Option<f64> {
        let is_recent = now.saturating_duration_since(self.started) < self.half * 2;
        let is_known = self.previous.count > 0 && self.previous.count + self.current.count >= count;
        let smallest = self.previous.value.min(self.current.value);
        (is_recent && is_known).then_some(smallest)
    }
}
