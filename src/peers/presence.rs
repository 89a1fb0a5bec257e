use std::{cell::Cell, future, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    sync::watch,
    task::{self, AbortHandle},
    time,
};

use super::Result;
use crate::{
    error::{Error, Kind},
    store::{Era, Lease, Path, Store, Txn, Write},
};

/// Time to live of the lease. Links detect the loss of a gateway within seconds, so a long time
/// only delays the removal of its entry.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Interval of lease renewals; the lease survives two failed ones.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bound of the delay after a restore of the store, in which the processes register again.
const RESTORE_DELAY: Duration = Duration::from_millis(500);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Registration of this process in the store. While this value lives, a task renews the lease of
/// the entry, and creates the entry anew if it has expired or the store was restored from an older copy.
#[derive(Debug)]
pub struct Presence {
    store: Rc<dyn Store>,
    lease: Rc<Cell<Option<Lease>>>,
    task: AbortHandle,
}

impl Presence {
    /// Starts the task that writes `value` at `path` and renews its lease.
    #[must_use]
    pub fn register(store: Rc<dyn Store>, path: Path, value: Vec<u8>) -> Self {
        let lease = Rc::new(Cell::new(None));
        let task = task::spawn_local(maintain(Rc::clone(&store), path, value, Rc::clone(&lease)));
        Self {
            store,
            lease,
            task: task.abort_handle(),
        }
    }

    /// Stops the renewals and revokes the lease, which removes the entry.
    pub async fn deregister(self) {
        self.task.abort();
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.revoke(lease).await
        {
            log::info!(error:% = error; "own entry was not removed; it expires with its lease");
        }
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn maintain(
    store: Rc<dyn Store>,
    path: Path,
    value: Vec<u8>,
    lease: Rc<Cell<Option<Lease>>>,
) {
    loop {
        let error = match create_entry(&*store, &path, &value).await {
            Ok(granted) => {
                log::info!(entry:% = path, lease:% = granted; "gateway is registered");
                lease.set(Some(granted));
                renew(&*store, granted).await;
                lease.set(None);
                log::warn!(entry:% = path, lease:% = granted; "own entry has expired");
                continue;
            }
            Err(error) => error,
        };
        log::info!(entry:% = path, error:% = error; "gateway could not be registered; retrying");
        sleep_with_jitter(RETRY_DELAY).await;
    }
}

async fn create_entry(store: &dyn Store, path: &Path, value: &[u8]) -> Result<Lease> {
    let lease = store.grant(LEASE_TTL).await?;
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

/// Renews the lease until it has expired, or the store was restored.
async fn renew(store: &dyn Store, lease: Lease) {
    let mut wait = RENEWAL_INTERVAL;
    let mut era = store.era();
    loop {
        tokio::select! {
            () = sleep_with_jitter(wait) => {}
            () = era_after(&mut era, lease.era()) => {
                time::sleep(RESTORE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))).await;
                return;
            }
        }
        wait = match store.renew(lease).await {
            Ok(true) => RENEWAL_INTERVAL,
            Ok(false) => return,
            Err(error) => {
                log::info!(lease:% = lease, error:% = error; "lease was not renewed; retrying");
                RETRY_DELAY
            }
        };
    }
}

/// Waits until the store states another era than `granted`.
async fn era_after(era: &mut watch::Receiver<Option<Era>>, granted: Era) {
    let changed = era.wait_for(|era| era.is_some_and(|era| era != granted));
    if changed.await.is_err() {
        // The store states no eras.
        future::pending::<()>().await;
    }
}

/// Sleeps for 70 to 100 percent of `limit`, so that processes that started together do not call the
/// store at the same time.
async fn sleep_with_jitter(limit: Duration) {
    let factor = rand::rng().random_range(0.7..1.0);
    time::sleep(limit.mul_f64(factor)).await;
}
