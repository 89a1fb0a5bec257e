use std::time::{Duration, Instant};

/// Factor by which a ceiling is lowered.
const LOWER: f64 = 0.8;
/// Part of its guaranteed share that a class always keeps.
const LEAST: f64 = 0.5;

/// Most requests of a class that run in a pool, found from the time that they hold a slot.
///
/// Slots are memory, not speed: an engine with all slots in use can be too slow for the targets of
/// a class. When the requests of a class hold their slots for longer than its targets allow, the
/// ceiling of the class that uses most of its guaranteed share is lowered by a factor; ceilings are
/// raised slowly otherwise.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ceiling {
    level: f64,
    lowered: Option<Instant>,
}

impl Default for Ceiling {
    fn default() -> Self {
        Self {
            level: f64::INFINITY,
            lowered: None,
        }
    }
}

impl Ceiling {
    /// Raises the ceiling after a request in time. A class that does not reach its ceiling says
    /// nothing about a higher one.
    pub(super) fn raise(&mut self, running: u32) {
        if f64::from(running) + 1.0 >= self.level {
            self.level += 1.0 / self.level;
        }
    }

    /// Lowers the ceiling below what runs now, at most once in `pause`.
    pub(super) fn lower(&mut self, running: u32, guaranteed: f64, pause: Duration, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < pause;
        if !self.lowered.is_some_and(recent) {
            self.level = (self.level.min(f64::from(running) + 1.0) * LOWER)
                .max(guaranteed * LEAST)
                .max(1.0);
            self.lowered = Some(now);
        }
    }

    /// Whether one more request may run.
    pub(super) fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.level
    }

    /// Expected wait behind `queued` requests.
    pub(super) fn wait(&self, queued: u32, running: u32, service: Duration) -> Duration {
        if self.has_room(running.saturating_add(queued)) {
            return Duration::ZERO;
        }
        let seconds = (f64::from(queued) + 1.0) * service.as_secs_f64() / self.level;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
