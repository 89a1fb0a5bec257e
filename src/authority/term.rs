use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Fence, Group},
    invariant::{self, Point},
    store::Lease,
};

/// Duration of the lease in the store.
pub(super) const LEASE: Duration = Duration::from_secs(9);
/// Time after which a holder stops, from the moment at which it sent the last answered renewal:
/// two thirds of the lease. The rest covers clocks that run at different speeds.
pub(super) const HOLD: Duration = Duration::from_secs(6);
/// Time between renewals. One may fail before the holder stops.
pub(super) const RENEWAL: Duration = Duration::from_secs(3);

/// A lease of this process and the groups that hang on it.
#[derive(Clone, Debug)]
pub struct Term {
    lease: Lease,
    sent: Instant,
    fences: BTreeMap<Group, Fence>,
}

impl Term {
    /// A lease that was asked for at `sent`.
    #[must_use]
    pub fn new(lease: Lease, sent: Instant) -> Self {
        Self {
            lease,
            sent,
            fences: BTreeMap::new(),
        }
    }

    /// The lease.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Counts from `sent`, the time at which a renewal was sent that the store has answered.
    pub fn renew(&mut self, sent: Instant) {
        self.sent = self.sent.max(sent);
    }

    /// Time at which the holder stops.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.sent + HOLD
    }

    /// Whether the holder has not stopped yet.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until()
    }

    /// Adds a group whose key was created at the revision `fence`.
    pub fn gain(&mut self, group: Group, fence: Fence) {
        self.fences.insert(group, fence);
    }

    /// Removes a group. Gives its fencing number if it was held.
    pub fn lose(&mut self, group: &Group) -> Option<Fence> {
        self.fences.remove(group)
    }

    /// The groups on the lease, valid or not.
    #[must_use]
    pub fn groups(&self) -> &BTreeMap<Group, Fence> {
        &self.fences
    }

    /// A permit to send orders to a group.
    #[must_use]
    pub fn permit(&self, group: &Group, now: Instant) -> Option<Permit> {
        let fence = self.fences.get(group).filter(|_| self.is_valid(now))?;
        Some(Permit {
            group: group.clone(),
            fence: *fence,
            sent: self.sent,
        })
    }
}

/// Leave to send orders to a group for a short time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    group: Group,
    fence: Fence,
    sent: Instant,
}

impl Permit {
    /// The group.
    #[must_use]
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Time at which the permit ends.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.sent + HOLD
    }

    /// The fencing number for an order that is sent now. Call it directly before sending, because
    /// the process may have been paused since it got the permit.
    ///
    /// # Errors
    ///
    /// `Kind::StaleFence` if the permit has ended.
    pub fn fence(&self, now: Instant) -> Result<Fence> {
        if now >= self.until() {
            let detail = format!("the authority over group {} has ended", self.group);
            return Err(Error::new(Kind::StaleFence, detail));
        }
        invariant::check(Point::Authority, now < self.sent + LEASE, || {
            format!("order to group {} after its lease", self.group)
        });
        Ok(self.fence)
    }
}
