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

/// Period of the lease of the presence key.
const PERIOD: Duration = Duration::from_secs(9);
/// Time for which an acknowledged renewal counts: two thirds of the period.
const FRESH: Duration = Duration::from_secs(6);
/// Interval of renewals.
const RENEWAL: Duration = Duration::from_secs(3);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(500);

/// Latest time up to which the presence lease certainly lasts. Clones share the value.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness(Rc<Cell<Option<Instant>>>);

impl Freshness {
    pub(super) fn covers(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|end| now < end)
    }
}

/// Keeps the presence key of an agent.
#[derive(Debug)]
pub(super) struct Presence {
    pub(super) store: Rc<dyn Store>,
    pub(super) clock: clock::Shared,
    pub(super) path: Path,
    pub(super) incarnation: Incarnation,
    pub(super) freshness: Freshness,
}

impl Presence {
    /// Runs until another incarnation has taken the key.
    pub(super) async fn keep(self) {
        let mut first = true;
        loop {
            match self.take(first).await {
                Ok(lease) => {
                    first = false;
                    self.renew(lease).await;
                }
                Err(error) if error.kind() == Kind::WrongIncarnation => break,
                Err(_unavailable) => time::sleep(RETRY).await,
            }
        }
        self.freshness.0.set(None);
        log::error!(path:% = self.path; "another incarnation of this agent has taken over");
    }

    /// Writes the key. A new run displaces an earlier one; a run that lost its lease does not
    /// displace a later one.
    async fn take(&self, first: bool) -> Result<Lease> {
        let sent = self.clock.now();
        let lease = self.store.grant(PERIOD).await?;
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
        self.freshness.0.set(Some(sent + FRESH));
        Ok(lease)
    }

    /// Renews the lease until it has lapsed.
    async fn renew(&self, lease: Lease) {
        let mut pause = RENEWAL;
        loop {
            time::sleep(pause).await;
            let sent = self.clock.now();
            match self.store.renew(lease).await {
                Ok(true) => {
                    self.freshness.0.set(Some(sent + FRESH));
                    pause = RENEWAL;
                }
                Ok(false) => return,
                Err(_unavailable) => pause = RETRY,
            }
        }
    }
}
