use std::{cell::Cell, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    task::{self, AbortHandle},
    time,
};

use super::Result;
use crate::{
    error::{Error, Kind},
    store::{Lease, Path, Store, Txn, Write},
};

/// Period of the lease. Links notice within seconds that a gateway is gone, so a long period only
/// delays the removal of its entry.
const PERIOD: Duration = Duration::from_secs(15);
/// Interval of renewals: two of them may fail.
const RENEWAL: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_secs(1);

/// The entry of this process in the store, kept for as long as this value lives.
#[derive(Debug)]
pub struct Presence {
    store: Rc<dyn Store>,
    lease: Rc<Cell<Option<Lease>>>,
    task: AbortHandle,
}

impl Presence {
    /// Starts to keep an entry.
    #[must_use]
    pub fn keep(store: Rc<dyn Store>, path: Path, value: Vec<u8>) -> Self {
        let lease = Rc::new(Cell::new(None));
        let task = task::spawn_local(run(Rc::clone(&store), path, value, Rc::clone(&lease)));
        Self {
            store,
            lease,
            task: task.abort_handle(),
        }
    }

    /// Removes the entry.
    pub async fn withdraw(self) {
        self.task.abort();
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.revoke(lease).await
        {
            log::info!(error:% = error; "own entry was not removed; it lapses by itself");
        }
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(store: Rc<dyn Store>, path: Path, value: Vec<u8>, lease: Rc<Cell<Option<Lease>>>) {
    loop {
        let error = match register(&*store, &path, &value).await {
            Ok(registered) => {
                log::info!(entry:% = path, lease:% = registered; "gateway is registered");
                lease.set(Some(registered));
                renew(&*store, registered).await;
                lease.set(None);
                log::warn!(entry:% = path, lease:% = registered; "own entry has lapsed");
                continue;
            }
            Err(error) => error,
        };
        log::info!(entry:% = path, error:% = error; "gateway is not registered yet");
        pause(RETRY).await;
    }
}

async fn register(store: &dyn Store, path: &Path, value: &[u8]) -> Result<Lease> {
    let lease = store.grant(PERIOD).await?;
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![Write::Put(path.clone(), value.to_vec(), Some(lease))],
    };
    if store.commit(txn).await?.succeeded {
        Ok(lease)
    } else {
        Err(Error::new(Kind::StoreUnavailable, "the entry was refused"))
    }
}

/// Renews the lease until it has lapsed.
async fn renew(store: &dyn Store, lease: Lease) {
    let mut wait = RENEWAL;
    loop {
        pause(wait).await;
        wait = match store.renew(lease).await {
            Ok(true) => RENEWAL,
            Ok(false) => return,
            Err(error) => {
                log::info!(lease:% = lease, error:% = error; "own entry was not renewed");
                RETRY
            }
        };
    }
}

/// Sleeps for a random part of a time, so that processes that started together do not call
/// together.
async fn pause(limit: Duration) {
    let factor = rand::rng().random_range(0.7..1.0);
    time::sleep(limit.mul_f64(factor)).await;
}
