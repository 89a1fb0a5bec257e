use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Fence, Group},
    invariant::{self, Invariant},
    store::Lease,
};

/// Time to live of the lease in the store.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(9);
/// Time after which a holder stops, counted from when it sent the last renewal that was answered:
/// two thirds of [`LEASE_TTL`]. The remaining third covers clocks that run at different rates.
pub(super) const HOLD_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between renewals. One renewal may fail before the holder stops.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// A lease of this process and the groups whose keys are attached to it.
#[derive(Clone, Debug)]
pub struct Term {
    lease: Lease,
    renewal_sent: Instant,
    fences: BTreeMap<Group, Fence>,
}

impl Term {
    /// A lease without groups, whose grant was requested at `sent`.
    #[must_use]
    pub fn new(lease: Lease, sent: Instant) -> Self {
        Self {
            lease,
            renewal_sent: sent,
            fences: BTreeMap::new(),
        }
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
        self.renewal_sent + HOLD_TIMEOUT
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
            renewal_sent: self.renewal_sent,
        })
    }
}

/// Right to send orders to a group until the term expires. A later renewal does not extend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    group: Group,
    fence: Fence,
    renewal_sent: Instant,
}

impl Permit {
    /// Group that the permit is for.
    #[must_use]
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Time at which the permit expires.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        self.renewal_sent + HOLD_TIMEOUT
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
            now < self.renewal_sent + LEASE_TTL,
            || format!("order to group {} after its lease", self.group),
        );
        Ok(self.fence)
    }
}
