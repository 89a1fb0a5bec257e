use std::time::{Duration, Instant};

/// Minimum time between two adjustments. Agents report every second.
const ADJUST_INTERVAL: Duration = Duration::from_secs(1);
/// Additive increase of the limit, as a fraction of the slots of the pool.
const INCREASE_FRACTION: f64 = 0.05;
/// Fraction of the slots by which the limit may exceed twice the requests of this entry.
const HEADROOM_FRACTION: f64 = 0.1;

/// Limits the slots of a pool that one of several entries uses.
///
/// Entries do not exchange state. Each compares the attempts that the agents report with the slots
/// of the pool and adjusts its limit by additive increase and multiplicative decrease, so that the
/// limits of all entries converge to equal shares.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotLimit {
    limit: f64,
    adjusted_at: Option<Instant>,
}

impl SlotLimit {
    /// Adjusts and returns the limit for a pool with `slots` slots and `all` attempts in progress,
    /// of which `own` are from this entry. The limit is at least 1 unless the pool has no slots.
    pub(super) fn update(&mut self, slots: u32, own: u32, all: u32, now: Instant) -> u32 {
        let max = f64::from(slots);
        let (own, all) = (f64::from(own), f64::from(all));
        if all <= own {
            self.limit = max;
            self.adjusted_at = Some(now);
            return slots;
        }
        let due = self
            .adjusted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ADJUST_INTERVAL);
        if due {
            self.adjusted_at = Some(now);
            if all > max {
                self.limit *= max / all;
            } else {
                self.limit += max * INCREASE_FRACTION;
            }
            // Bounds the limit by current use, so that an entry with few requests cannot fill the
            // pool in a later burst.
            self.limit = self.limit.min(own * 2.0 + max * HEADROOM_FRACTION);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit is clamped to between 0 and the slots"
        )]
        let limit = self.limit.clamp(0.0, max) as u32;
        limit.max(slots.min(1))
    }
}
