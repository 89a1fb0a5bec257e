use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::sync::watch;

use super::Result;
use crate::{
    clock::Shared,
    error::{Error, Kind},
};

/// Part of the revocation time after which keys are no longer accepted. The rest is for clocks of
/// different speed.
const ACCEPTED_FRACTION: f64 = 0.8;
/// Retry-after period while the plan is not confirmed; another process may have a confirmed one.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Decides whether the plan was confirmed recently enough to accept the keys in it.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Time since boot as of which the active plan was the newest.
    confirmed: watch::Receiver<Option<Duration>>,
    /// Age of the confirmation from which on keys are not accepted; `None` if they always are.
    limit: Option<Duration>,
    clock: Shared,
    /// Whether the last check failed, so that only changes are logged.
    expired: Arc<AtomicBool>,
}

impl Freshness {
    /// Creates a check for keys that must not be accepted later than `revocation` after they were removed.
    /// Without it, every check succeeds.
    #[must_use]
    pub fn new(
        confirmed: watch::Receiver<Option<Duration>>,
        revocation: Option<Duration>,
        clock: Shared,
    ) -> Self {
        Self {
            confirmed,
            limit: revocation.map(|revocation| revocation.mul_f64(ACCEPTED_FRACTION)),
            clock,
            expired: Arc::default(),
        }
    }

    /// Time since boot as of which the plan is confirmed that is read after this call.
    #[must_use]
    pub fn confirmed(&self) -> Option<Duration> {
        *self.confirmed.borrow()
    }

    /// Checks that a plan which is confirmed as of this time since boot is recent enough.
    ///
    /// # Errors
    ///
    /// `Kind::NotReady` if the confirmation is missing or too old.
    pub fn check(&self, confirmed: Option<Duration>) -> Result<()> {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let now = self.clock.since_boot();
        let age = confirmed.map(|confirmed| now.saturating_sub(confirmed));
        if let Some(age) = age {
            metrics::gauge!("plan_confirmation_age_seconds").set(age.as_secs_f64());
        }
        let is_recent = age.is_some_and(|age| age < limit);
        self.record(is_recent, age);
        if is_recent {
            return Ok(());
        }
        metrics::counter!("plan_unconfirmed_total").increment(1);
        let detail = "the plan was not confirmed recently, so keys are not accepted";
        Err(Error::new(Kind::NotReady, detail).with_retry_after(RETRY_AFTER))
    }

    fn record(&self, is_recent: bool, age: Option<Duration>) {
        if self.expired.swap(!is_recent, Ordering::Relaxed) != is_recent {
            return;
        }
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        if is_recent {
            log::info!(age_ms:? = age_ms; "plan is confirmed again; keys are accepted");
        } else {
            log::warn!(age_ms:? = age_ms;
                "plan was not confirmed recently; requests with keys are refused");
        }
    }
}
