use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time};

use super::{
    CALL_LIMIT, Commit, Events, Future, Lease, Path, Range, Reader, Result, Store, Txn,
    keyspace::Keyspace,
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Shortest wait of a watch between two looks at the clock.
const WATCH_PAUSE: Duration = Duration::from_millis(1);

/// Faults of a store, set by tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// No call reaches the store, and pending watches break.
    pub down: bool,
    /// Number of next writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Delay of each call; half of it passes before the call takes effect. Beyond the limit of
    /// 2 s the call fails.
    pub delay: Duration,
}

/// Calls since the store was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
    /// Watches that are pending now.
    pub watches: u64,
}

#[derive(Debug)]
struct Shared {
    clock: clock::Shared,
    keyspace: RefCell<Keyspace>,
    counts: Cell<Counts>,
    /// Wakes the watches after any change of keys, leases or faults.
    changed: Rc<Notify>,
}

impl Shared {
    /// Runs an operation on the keyspace after lapsed leases are removed.
    fn apply<T>(&self, operate: impl FnOnce(&mut Keyspace) -> T) -> T {
        let mut keyspace = self.keyspace.borrow_mut();
        keyspace.sweep(self.clock.now());
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

/// A store in the memory of one process, for tests and stand-ins. Clones share one store and one
/// set of faults; [`Memory::client`] gives a connection with faults of its own.
#[derive(Clone, Debug)]
pub struct Memory {
    shared: Rc<Shared>,
    faults: Rc<Cell<Faults>>,
}

impl Memory {
    /// An empty store. Leases lapse by `clock`.
    #[must_use]
    pub fn new(clock: clock::Shared) -> Self {
        Self {
            shared: Rc::new(Shared {
                clock,
                keyspace: RefCell::new(Keyspace::new()),
                counts: Cell::default(),
                changed: Rc::default(),
            }),
            faults: Rc::default(),
        }
    }

    /// Another connection to the same store, without faults.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
            faults: Rc::default(),
        }
    }

    /// The faults that the next calls meet.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
        self.shared.changed.notify_waiters();
    }

    /// Calls so far, of all connections.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Revision of the store.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.apply(|keyspace| keyspace.revision())
    }

    fn call<'a, T: 'a>(
        &'a self,
        write: bool,
        operate: impl FnOnce(&mut Keyspace) -> Result<T> + 'a,
    ) -> Future<'a, T> {
        async move {
            self.reach()?;
            let delay = self.faults.get().delay;
            if delay.is_zero() {
                return self.run(write, operate);
            }
            let slow = async {
                time::sleep(delay / 2).await;
                self.reach()?;
                let result = self.run(write, operate);
                time::sleep(delay / 2).await;
                result
            };
            time::timeout(CALL_LIMIT, slow)
                .await
                .unwrap_or_else(|_elapsed| Err(lost("the store did not answer in time")))
        }
        .boxed_local()
    }

    fn reach(&self) -> Result<()> {
        if self.faults.get().down {
            return Err(unreachable());
        }
        Ok(())
    }

    fn run<T>(&self, write: bool, operate: impl FnOnce(&mut Keyspace) -> Result<T>) -> Result<T> {
        self.shared.count(|counts| {
            counts.reads += u64::from(!write);
            counts.writes += u64::from(write);
        });
        let result = self.shared.apply(operate);
        let mut faults = self.faults.get();
        if write && faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            self.faults.set(faults);
            return Err(lost("the answer of the store was lost"));
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

    fn watch(&self, prefix: Path, from: Revision) -> Future<'_, Events> {
        async move {
            self.reach()?;
            let next = if from == Revision::default() {
                Revision::new(self.revision().get() + 1)
            } else {
                from
            };
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

/// A pending watch. It counts against the limits of the store until it is dropped.
#[derive(Debug)]
struct Watch {
    memory: Memory,
    prefix: Path,
    next: Revision,
}

impl Watch {
    fn new(memory: Memory, prefix: Path, next: Revision) -> Self {
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
            self.memory.reach()?;
            let (events, pause) = self.look()?;
            if let Some(last) = events.last() {
                self.next = Revision::new(last.revision.get() + 1);
                return Ok(events);
            }
            let changed = changed.notified();
            match pause {
                Some(pause) => drop(time::timeout(pause, changed).await),
                None => changed.await,
            }
        }
    }

    /// Events since the last look, and the time until the next lease lapses.
    fn look(&self) -> Result<(Vec<super::Event>, Option<Duration>)> {
        let shared = &self.memory.shared;
        let now = shared.clock.now();
        let mut keyspace = shared.keyspace.borrow_mut();
        if keyspace.sweep(now) {
            shared.changed.notify_waiters();
        }
        let events = keyspace.events(&self.prefix, self.next)?;
        let pause = keyspace.next_expiry().map(|at| (at - now).max(WATCH_PAUSE));
        Ok((events, pause))
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

fn lost(detail: &str) -> Error {
    Error::new(Kind::StoreUnavailable, detail).with_executed(Executed::Unknown)
}
