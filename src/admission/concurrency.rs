use std::time::{Duration, Instant};

/// Factor of the multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Fraction of its guaranteed share below which the limit of a class never falls.
const GUARANTEED_MIN: f64 = 0.5;

/// Adaptive limit on the concurrent requests of a class in a pool: additive increase,
/// multiplicative decrease.
///
/// Slots bound the memory of an engine, not its speed: an engine with all slots in use can be too
/// slow for the targets of a class. When the requests of a class hold their slots for longer than
/// its targets allow, the limit of the class with the highest use relative to its guaranteed share
/// is decreased. Otherwise each request that ends increases the limit of its class slowly.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            decreased_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Increases the limit by its reciprocal, but only if the class has reached it: a class below
    /// its limit is no evidence that a higher one would meet the targets.
    pub(super) fn increase(&mut self, running: u32) {
        if f64::from(running) + 1.0 >= self.limit {
            self.limit += 1.0 / self.limit;
        }
    }

    /// Decreases the limit below the requests that run now, at most once in `min_interval`.
    pub(super) fn decrease(
        &mut self,
        running: u32,
        guaranteed: f64,
        min_interval: Duration,
        now: Instant,
    ) {
        let recent = |at: Instant| now.saturating_duration_since(at) < min_interval;
        if !self.decreased_at.is_some_and(recent) {
            self.limit = (self.limit.min(f64::from(running) + 1.0) * DECREASE_FACTOR)
                .max(guaranteed * GUARANTEED_MIN)
                .max(1.0);
            self.decreased_at = Some(now);
        }
    }

    /// Whether one more request may run.
    pub(super) fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit
    }

    /// Expected time in the queue behind `queued` requests.
    pub(super) fn expected_wait(&self, queued: u32, running: u32, service: Duration) -> Duration {
        if self.has_room(running.saturating_add(queued)) {
            return Duration::ZERO;
        }
        let seconds = (f64::from(queued) + 1.0) * service.as_secs_f64() / self.limit;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
