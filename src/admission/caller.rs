use std::time::{Duration, Instant};

use crate::unit::Rate;

/// Upper bound of the `retry_after` of a rate-limited request.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Limits of one caller: a token bucket for the request rate, and the number of requests in
/// progress.
#[derive(Debug)]
pub(super) struct CallerLimiter {
    pub(super) in_progress: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl CallerLimiter {
    pub(super) fn new(rate: Rate, now: Instant) -> Self {
        Self {
            in_progress: 0,
            tokens: bucket_size(rate),
            refilled_at: now,
        }
    }

    /// Takes a token, or returns the time until one is available.
    pub(super) fn take_token(&mut self, rate: Rate, now: Instant) -> Result<(), Duration> {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate.get()).min(bucket_size(rate));
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate.get();
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER_MAX);
        Err(wait.min(RETRY_AFTER_MAX))
    }
}

/// Size of the token bucket: the requests of one second, and at least 1 unless the rate is 0.
fn bucket_size(rate: Rate) -> f64 {
    if rate.get() > 0.0 {
        rate.get().max(1.0)
    } else {
        0.0
    }
}
