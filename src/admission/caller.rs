use std::time::{Duration, Instant};

use crate::unit::Rate;

/// Longest wait that a caller is told.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// Requests of one caller: a token bucket for the rate, and a count.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) in_progress: u32,
    tokens: f64,
    filled: Instant,
}

impl Account {
    pub(super) fn new(rate: Rate, now: Instant) -> Self {
        Self {
            in_progress: 0,
            tokens: burst(rate),
            filled: now,
        }
    }

    /// Takes a token, or returns the time until there is one.
    pub(super) fn take(&mut self, rate: Rate, now: Instant) -> Result<(), Duration> {
        let period = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + period * rate.get()).min(burst(rate));
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate.get();
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY);
        Err(wait.min(LONGEST_RETRY))
    }
}

/// One second of requests, and at least one.
fn burst(rate: Rate) -> f64 {
    if rate.get() > 0.0 {
        rate.get().max(1.0)
    } else {
        0.0
    }
}
