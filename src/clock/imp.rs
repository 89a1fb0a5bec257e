use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;

    /// Wall-clock time, only for logs and timestamps in answers, since it may jump.
    fn wall(&self) -> SystemTime;

    /// Time since the boot of the host, including time in which it was suspended. Monotonic time stops
    /// while a host is suspended, and wall-clock time jumps.
    fn since_boot(&self) -> Duration;
}

/// A clock shared by several tasks.
pub type Shared = Arc<dyn Clock>;

/// The system clock. In a tokio runtime with paused time, it follows the paused time.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl System {
    /// Creates the system clock as a shared trait object.
    #[must_use]
    pub fn shared() -> Shared {
        Arc::new(Self)
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        // `std::time::Instant::now` does not follow tokio's paused clock.
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        since_boot()
    }
}

/// A clock that counts the time for which the host was suspended, in which the monotonic clock of the
/// system stops. Its times are comparable only with its own.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    start: Instant,
    booted: Duration,
}

impl Boot {
    /// Creates the clock as a shared trait object.
    #[must_use]
    pub fn shared() -> Shared {
        Arc::new(Self {
            start: Instant::now(),
            booted: since_boot(),
        })
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        since_boot()
    }
}

/// Time since the host was booted, including suspension.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The kernel returns no negative times for this clock.
    Duration::try_from(time).unwrap_or_default()
}

/// A clock that advances only by [`Manual::advance`]. Clones share the same time.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    elapsed_nanos: Arc<AtomicU64>,
}

impl Manual {
    /// Creates a clock whose wall time starts at the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed_nanos: Arc::default(),
        }
    }

    /// Advances the clock and all its clones.
    pub fn advance(&self, period: Duration) {
        let nanos = u64::try_from(period.as_nanos()).unwrap_or(u64::MAX);
        self.elapsed_nanos.fetch_add(nanos, Ordering::Relaxed);
    }

    /// Returns the sum of all advances.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Duration::from_nanos(self.elapsed_nanos.load(Ordering::Relaxed))
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}
