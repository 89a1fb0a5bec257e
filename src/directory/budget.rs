use std::time::Duration;

/// Upper bound of the delay after a batch of changes. It is half of the time in which endpoints register
/// again after an outage of the store, so that they are found in that time.
const BATCH_DELAY_MAX: Duration = Duration::from_secs(1);

/// Default drain notice.
pub(crate) const NOTICE_DEFAULT: Duration = Duration::from_secs(2);

/// Division of the drain notice: the time from the store's acknowledgement that an endpoint leaves to the
/// last byte that it may be sent.
///
/// A change is received after the batch delay, or, if the connection to the store went silent, within the
/// recovery. The rest is for the work of this process, and for what is on its way to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    notice: Duration,
}

impl Budget {
    /// Divides a drain notice.
    #[must_use]
    pub const fn new(notice: Duration) -> Self {
        Self { notice }
    }

    /// Delay after a batch of changes, in which further ones are collected.
    #[must_use]
    pub fn batch_delay(self) -> Duration {
        (self.notice / 3).min(BATCH_DELAY_MAX)
    }

    /// Time in which the store has to be followed again whose open connections have gone silent.
    #[must_use]
    pub fn store_recovery(self) -> Duration {
        self.notice * 7 / 8
    }

    /// Time in which a request that was begun before may still be sent to its end. The rest is for what is
    /// on its way.
    #[must_use]
    pub fn upload_time(self) -> Duration {
        self.notice * 7 / 8
    }

    /// Time by which an endpoint that does not register again after an outage may be used longer than it
    /// has to register.
    #[must_use]
    pub fn grace_excess(self) -> Duration {
        self.notice / 4
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(NOTICE_DEFAULT)
    }
}
