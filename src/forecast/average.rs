use std::time::{Duration, Instant};

/// Ratio of two sums in which older observations count less.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Average {
    numerator: f64,
    denominator: f64,
    updated: Instant,
    half_life: Duration,
}

impl Average {
    /// An estimate without observations.
    pub(crate) const fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            numerator: 0.0,
            denominator: 0.0,
            updated: now,
            half_life,
        }
    }

    /// Adds an observation.
    pub(crate) fn add(&mut self, numerator: f64, denominator: f64, now: Instant) {
        let left = self.weight(now);
        self.numerator = self.numerator * left + numerator;
        self.denominator = self.denominator * left + denominator;
        self.updated = self.updated.max(now);
    }

    /// The ratio, if `prior` is believed as much as observations with a denominator of
    /// `prior_denominator`. Without recent observations it returns to the prior.
    pub(crate) fn ratio(&self, prior: f64, prior_denominator: f64, now: Instant) -> f64 {
        let left = self.weight(now);
        (self.numerator * left + prior * prior_denominator)
            / (self.denominator * left + prior_denominator)
    }

    /// Weight of the earlier observations at `now`.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64())
    }
}
