use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time,
};

use super::{
    CALL_TIMEOUT, Commit, Era, Events, Future, Lease, Path, Position, Range, Reader, Result, Store,
    Txn, keyspace::Keyspace,
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Minimum wait of a watch for the next lease to expire.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(1);

/// Faults to inject into the calls of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls fail without reaching the store, and pending watches end with an error.
    pub down: bool,
    /// Number of writes, from the next one on, that take effect but return an error.
    pub lose_answers: u32,
    /// Delay of each call, half of it before the call takes effect. A call fails after 2 s, but may
    /// have taken effect by then.
    pub delay: Duration,
}

/// Number of calls since the store was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Calls that read.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
    /// Watches that are currently open.
    pub watches: u64,
}

#[derive(Debug)]
struct Shared {
    clock: clock::Shared,
    keyspace: RefCell<Keyspace>,
    counts: Cell<Counts>,
    era: watch::Sender<Option<Era>>,
    /// Notifies the watches of any change of keys, leases or faults.
    changed: Rc<Notify>,
}

impl Shared {
    /// Removes expired leases, runs an operation on the keyspace, and notifies the watches.
    fn apply<T>(&self, operate: impl FnOnce(&mut Keyspace) -> T) -> T {
        let mut keyspace = self.keyspace.borrow_mut();
        keyspace.expire_leases(self.clock.now());
        let result = operate(&mut keyspace);
        self.changed.notify_waiters();
        result
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// Copy of the keys, leases and history of a [`Memory`].
#[derive(Clone, Debug)]
pub struct Backup(Keyspace);

/// An in-memory store for tests and stand-ins. Clones share the store and the faults;
/// [`Memory::client`] creates a connection with its own faults.
#[derive(Clone, Debug)]
pub struct Memory {
    shared: Rc<Shared>,
    faults: Rc<Cell<Faults>>,
}

impl Memory {
    /// Creates an empty store. `clock` determines when leases expire.
    #[must_use]
    pub fn new(clock: clock::Shared) -> Self {
        Self {
            shared: Rc::new(Shared {
                clock,
                keyspace: RefCell::new(Keyspace::new()),
                counts: Cell::default(),
                era: watch::Sender::new(None),
                changed: Rc::default(),
            }),
            faults: Rc::default(),
        }
    }

    /// Creates another connection to the same store, without faults.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
            faults: Rc::default(),
        }
    }

    /// The faults that apply to the next calls.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Replaces the faults and notifies the watches.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
        self.shared.changed.notify_waiters();
    }

    /// Number of calls so far, over all connections.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Current revision, after expired leases are removed.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.apply(|keyspace| keyspace.revision())
    }

    /// Copies the current state.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        Backup(self.shared.apply(|keyspace| keyspace.clone()))
    }

    /// Goes back to an earlier state, in a new era. Revisions and lease numbers are given out again.
    pub fn restore(&self, backup: Backup) {
        self.shared.apply(|keyspace| {
            let era = Era::new(keyspace.era.get() + 1);
            *keyspace = backup.0;
            keyspace.era = era;
            self.shared.era.send_replace(Some(era));
        });
    }

    fn call<'a, T: 'a>(
        &'a self,
        write: bool,
        operate: impl FnOnce(&mut Keyspace) -> Result<T> + 'a,
    ) -> Future<'a, T> {
        async move {
            self.check_reachable()?;
            let delay = self.faults.get().delay;
            if delay.is_zero() {
                return self.execute(write, operate);
            }
            let delayed = async {
                time::sleep(delay / 2).await;
                self.check_reachable()?;
                let result = self.execute(write, operate);
                time::sleep(delay / 2).await;
                result
            };
            time::timeout(CALL_TIMEOUT, delayed)
                .await
                .unwrap_or_else(|_elapsed| Err(unknown_outcome("the store did not answer in time")))
        }
        .boxed_local()
    }

    fn check_reachable(&self) -> Result<()> {
        if self.faults.get().down {
            return Err(unreachable());
        }
        Ok(())
    }

    fn execute<T>(
        &self,
        write: bool,
        operate: impl FnOnce(&mut Keyspace) -> Result<T>,
    ) -> Result<T> {
        self.shared.count(|counts| {
            counts.reads += u64::from(!write);
            counts.writes += u64::from(write);
        });
        let result = self.shared.apply(operate);
        let mut faults = self.faults.get();
        if write && faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            self.faults.set(faults);
            return Err(unknown_outcome("the answer of the store was lost"));
        }
        result
    }
}

impl Reader for Memory {
    fn get(&self, path: Path) -> Future<'_, Range> {
        self.call(false, move |keyspace| Ok(keyspace.get(&path)))
    }

    fn range(&self, prefix: Path) -> Future<'_, Range> {
        self.call(false, move |keyspace| Ok(keyspace.range(&prefix)))
    }

    fn watch(&self, prefix: Path, from: Position) -> Future<'_, Events> {
        async move {
            self.check_reachable()?;
            let mut next = from;
            if from.revision == Revision::default() {
                next.revision = Revision::new(self.revision().get() + 1);
            }
            let watch = Watch::new(self.clone(), prefix, next);
            let events = stream::unfold(Some(watch), |watch| async move {
                let mut watch = watch?;
                match watch.next().await {
                    Ok(events) => Some((Ok(events), Some(watch))),
                    Err(error) => Some((Err(error), None)),
                }
            });
            Ok(events.boxed_local())
        }
        .boxed_local()
    }
}

impl Store for Memory {
    fn commit(&self, txn: Txn) -> Future<'_, Commit> {
        if let Err(error) = txn.check() {
            return async { Err(error) }.boxed_local();
        }
        self.call(true, move |keyspace| keyspace.commit(txn))
    }

    fn grant(&self, period: Duration) -> Future<'_, Lease> {
        self.call(true, move |keyspace| {
            Ok(keyspace.grant(period, self.shared.clock.now()))
        })
    }

    fn era(&self) -> watch::Receiver<Option<Era>> {
        self.shared.era.subscribe()
    }

    fn renew(&self, lease: Lease) -> Future<'_, bool> {
        self.call(true, move |keyspace| {
            Ok(keyspace.renew(lease, self.shared.clock.now()))
        })
    }

    fn revoke(&self, lease: Lease) -> Future<'_, ()> {
        self.call(true, move |keyspace| {
            keyspace.revoke(lease);
            Ok(())
        })
    }
}

/// An open watch, counted in [`Counts::watches`] until it is dropped.
#[derive(Debug)]
struct Watch {
    memory: Memory,
    prefix: Path,
    next: Position,
}

impl Watch {
    fn new(memory: Memory, prefix: Path, next: Position) -> Self {
        memory.shared.count(|counts| counts.watches += 1);
        Self {
            memory,
            prefix,
            next,
        }
    }

    async fn next(&mut self) -> Result<Vec<super::Event>> {
        loop {
            let changed = Rc::clone(&self.memory.shared.changed);
            self.memory.check_reachable()?;
            let (events, wait) = self.poll_events()?;
            if let Some(last) = events.last() {
                self.next.revision = Revision::new(last.revision.get() + 1);
                return Ok(events);
            }
            let changed = changed.notified();
            match wait {
                Some(wait) => drop(time::timeout(wait, changed).await),
                None => changed.await,
            }
        }
    }

    /// Events since the last poll, and the time until the next lease expires.
    fn poll_events(&self) -> Result<(Vec<super::Event>, Option<Duration>)> {
        let shared = &self.memory.shared;
        let now = shared.clock.now();
        let mut keyspace = shared.keyspace.borrow_mut();
        if keyspace.expire_leases(now) {
            shared.changed.notify_waiters();
        }
        let events = keyspace.events(&self.prefix, self.next)?;
        let wait = keyspace
            .next_expiry()
            .map(|at| (at - now).max(WATCH_WAIT_MIN));
        Ok((events, wait))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.memory.shared.count(|counts| counts.watches -= 1);
    }
}

fn unreachable() -> Error {
    Error::new(Kind::StoreUnavailable, "the store refused the connection")
        .with_executed(Executed::No)
}

fn unknown_outcome(detail: &str) -> Error {
    Error::new(Kind::StoreUnavailable, detail).with_executed(Executed::Unknown)
}
