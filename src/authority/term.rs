use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Fence, Group},
    invariant::{self, Invariant},
    store::{Era, Lease},
};

/// Default time to live of the lease in the store.
const LEASE_TTL_DEFAULT: Duration = Duration::from_secs(9);
/// Upper bound of the delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Delay before a failed renewal is retried, as a fraction of the time to live.
const RENEWAL_RETRY_DIVISOR: u32 = 12;

/// The times of a holder. They follow from the time to live of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    lease_ttl: Duration,
    poll_interval: Duration,
}

impl Timing {
    /// Times for a lease with this time to live.
    #[must_use]
    pub fn new(lease_ttl: Duration) -> Self {
        Self {
            lease_ttl,
            poll_interval: lease_ttl / 3,
        }
    }

    /// Sets the mean interval between reads of the group keys; a third of the time to live by
    /// default. A longer one costs fewer calls, and a lapsed lease is noticed later.
    #[must_use]
    pub const fn with_poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Time to live of the lease in the store; 9 s by default.
    #[must_use]
    pub const fn lease_ttl(self) -> Duration {
        self.lease_ttl
    }

    /// Time after which a holder stops, counted from when it sent the last renewal that was answered:
    /// two thirds of the time to live. The remaining third covers clocks that run at different rates.
    #[must_use]
    pub fn hold_timeout(self) -> Duration {
        self.lease_ttl * 2 / 3
    }

    /// Interval between renewals. One renewal may fail before the holder stops.
    #[must_use]
    pub fn renewal_interval(self) -> Duration {
        self.lease_ttl / 3
    }

    /// Delay before a failed renewal is retried.
    #[must_use]
    pub fn renewal_retry_delay(self) -> Duration {
        (self.lease_ttl / RENEWAL_RETRY_DIVISOR).min(RENEWAL_RETRY_DELAY_MAX)
    }

    /// Mean interval between reads of the group keys. Polling needs one read per interval, and no
    /// pending watch per process.
    #[must_use]
    pub const fn poll_interval(self) -> Duration {
        self.poll_interval
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new(LEASE_TTL_DEFAULT)
    }
}

/// A lease of this process and the groups whose keys are attached to it.
#[derive(Clone, Debug)]
pub struct Term {
    lease: Lease,
    timing: Timing,
    renewal_sent: Instant,
    fences: BTreeMap<Group, Fence>,
}

impl Term {
    /// A lease without groups, whose grant was requested at `sent`.
    #[must_use]
    pub fn new(lease: Lease, sent: Instant) -> Self {
        Self {
            lease,
            timing: Timing::default(),
            renewal_sent: sent,
            fences: BTreeMap::new(),
        }
    }

    /// Sets the times of the holder.
    #[must_use]
    pub const fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Lease in the store.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Extends the term after an answered renewal that was sent at `sent`. A time earlier than that
    /// of the last renewal is ignored.
    pub fn renew(&mut self, sent: Instant) {
        self.renewal_sent = self.renewal_sent.max(sent);
    }

    /// Time at which the holder stops, unless the lease is renewed before.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        self.renewal_sent + self.timing.hold_timeout()
    }

    /// Whether the term has not expired at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at()
    }

    /// Adds a group whose key was created at the revision `fence`.
    pub fn add_group(&mut self, group: Group, fence: Fence) {
        self.fences.insert(group, fence);
    }

    /// Removes a group. Returns its fencing number, or `None` if the group was not held.
    pub fn remove_group(&mut self, group: &Group) -> Option<Fence> {
        self.fences.remove(group)
    }

    /// Groups of the term with their fencing numbers, whether the term has expired or not.
    #[must_use]
    pub fn groups(&self) -> &BTreeMap<Group, Fence> {
        &self.fences
    }

    /// A permit to send orders to a group; `None` if the group is not held or the term has expired.
    #[must_use]
    pub fn permit(&self, group: &Group, now: Instant) -> Option<Permit> {
        let fence = self.fences.get(group).filter(|_| self.is_valid(now))?;
        Some(Permit {
            group: group.clone(),
            fence: *fence,
            era: self.lease.era(),
            timing: self.timing,
            renewal_sent: self.renewal_sent,
        })
    }
}

/// Right to send orders to a group until the term expires. A later renewal does not extend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    group: Group,
    fence: Fence,
    era: Era,
    timing: Timing,
    renewal_sent: Instant,
}

impl Permit {
    /// Group that the permit is for.
    #[must_use]
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Era of the store in which the lease was granted. Fencing numbers are comparable only within
    /// an era.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Time at which the permit expires.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        self.renewal_sent + self.timing.hold_timeout()
    }

    /// Fencing number for an order that is sent at `now`. To be called directly before sending,
    /// because the process may have been paused since it got the permit.
    ///
    /// # Errors
    ///
    /// `Kind::StaleFence` if the permit has expired.
    pub fn fence(&self, now: Instant) -> Result<Fence> {
        if now >= self.expires_at() {
            let detail = format!("the authority over group {} has ended", self.group);
            return Err(Error::new(Kind::StaleFence, detail));
        }
        invariant::check(
            Invariant::Authority,
            now < self.renewal_sent + self.timing.lease_ttl(),
            || format!("order to group {} after its lease", self.group),
        );
        Ok(self.fence)
    }
}
