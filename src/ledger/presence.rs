use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time;

use super::Result;
use crate::{
    clock,
    error::{Error, Kind},
    id::Incarnation,
    store::{Compare, Lease, Path, Store, Txn, Write},
};

/// TTL of the lease of the presence key.
const LEASE_TTL: Duration = Duration::from_secs(9);
/// Time for which the lease counts as valid after a renewal was sent that the store acknowledged:
/// two thirds of its TTL.
const LEASE_VALIDITY: Duration = Duration::from_secs(6);
/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time until which the presence lease certainly lasts. Clones share the value.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseValidity(Rc<Cell<Option<Instant>>>);

impl LeaseValidity {
    pub(super) fn includes(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|end| now < end)
    }
}

/// Maintains the presence key of an agent.
#[derive(Debug)]
pub(super) struct Presence {
    pub(super) store: Rc<dyn Store>,
    pub(super) clock: clock::Shared,
    pub(super) path: Path,
    pub(super) incarnation: Incarnation,
    pub(super) validity: LeaseValidity,
}

impl Presence {
    /// Maintains the key until another incarnation has taken it over.
    pub(super) async fn run(self) {
        let mut first = true;
        loop {
            match self.acquire(first).await {
                Ok(lease) => {
                    first = false;
                    self.renew(lease).await;
                }
                Err(error) if error.kind() == Kind::WrongIncarnation => break,
                Err(_unavailable) => time::sleep(RETRY_DELAY).await,
            }
        }
        self.validity.0.set(None);
        log::error!(path:% = self.path; "another incarnation of this agent has taken over");
    }

    /// Writes the key under a new lease. The first time, it replaces the key of an earlier
    /// incarnation. After a lost lease, it does not replace the key of a later one.
    async fn acquire(&self, first: bool) -> Result<Lease> {
        let sent = self.clock.now();
        let lease = self.store.grant(LEASE_TTL).await?;
        let value = self.incarnation.to_string().into_bytes();
        let range = self.store.get(self.path.clone()).await?;
        let present = range.items.first();
        if !first && present.is_some_and(|item| item.value != value) {
            return Err(Error::new(Kind::WrongIncarnation, "displaced"));
        }
        let absent = || Compare::Absent(self.path.clone());
        let expected = present.map_or_else(absent, |item| {
            Compare::Modified(self.path.clone(), item.modified)
        });
        let txn = Txn {
            compares: vec![expected],
            writes: vec![Write::Put(self.path.clone(), value, Some(lease))],
        };
        if !self.store.commit(txn).await?.succeeded {
            return Err(Error::new(Kind::StoreUnavailable, "the key changed"));
        }
        self.validity.0.set(Some(sent + LEASE_VALIDITY));
        Ok(lease)
    }

    /// Renews the lease until the store reports that it has expired.
    async fn renew(&self, lease: Lease) {
        let mut delay = RENEWAL_INTERVAL;
        loop {
            time::sleep(delay).await;
            let sent = self.clock.now();
            match self.store.renew(lease).await {
                Ok(true) => {
                    self.validity.0.set(Some(sent + LEASE_VALIDITY));
                    delay = RENEWAL_INTERVAL;
                }
                Ok(false) => return,
                Err(_unavailable) => delay = RETRY_DELAY,
            }
        }
    }
}
