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
/// Time for which the lease counts as valid, two thirds of its TTL. It starts when the grant or the
/// last acknowledged renewal was sent.
const LEASE_VALIDITY: Duration = Duration::from_secs(6);
/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time until which the presence lease certainly lasts; `None` before the presence key is first
/// written, and after another incarnation has replaced it. Clones share the value.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseValidity(Rc<Cell<Option<Instant>>>);

impl LeaseValidity {
    pub(super) fn is_valid_at(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|end| now < end)
    }
}

/// Keeps the presence key of an agent in the store while the agent runs. From this key, other
/// agents determine whether the owner of a claim is still running.
#[derive(Debug)]
pub(super) struct Presence {
    pub(super) store: Rc<dyn Store>,
    pub(super) clock: clock::Shared,
    pub(super) path: Path,
    pub(super) incarnation: Incarnation,
    pub(super) validity: LeaseValidity,
}

impl Presence {
    /// Writes the key and renews its lease until another incarnation has replaced the key.
    pub(super) async fn run(self) {
        let mut acquired = false;
        loop {
            match self.acquire(acquired).await {
                Ok(lease) => {
                    acquired = true;
                    self.renew(lease).await;
                }
                Err(error) if error.kind() == Kind::WrongIncarnation => break,
                Err(_error) => time::sleep(RETRY_DELAY).await,
            }
        }
        self.validity.0.set(None);
        log::error!(path:% = self.path;
            "another incarnation of this agent replaced the presence key; refusing new claims");
    }

    /// Writes the key under a new lease. Until this has succeeded once (`acquired_before`), it
    /// replaces the key of any other incarnation, which is taken to be an earlier one. Later, such
    /// a key is taken to be that of a later incarnation, and the call fails with
    /// [`Kind::WrongIncarnation`].
    async fn acquire(&self, acquired_before: bool) -> Result<Lease> {
        let sent = self.clock.now();
        let lease = self.store.grant(LEASE_TTL).await?;
        let value = self.incarnation.to_string().into_bytes();
        let range = self.store.get(self.path.clone()).await?;
        let existing = range.items.first();
        if acquired_before && existing.is_some_and(|item| item.value != value) {
            return Err(Error::new(Kind::WrongIncarnation, "displaced"));
        }
        let absent = || Compare::Absent(self.path.clone());
        let expected = existing.map_or_else(absent, |item| {
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
                Err(_error) => delay = RETRY_DELAY,
            }
        }
    }
}
