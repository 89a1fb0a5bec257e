use std::{
    collections::{HashSet, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::Revision,
    store::{Commit, Compare, Item, Lease, Path, Result, Store, Txn, Write},
};

/// Shortest time between two transactions: 200 writes a second for an agent at most.
const INTERVAL: Duration = Duration::from_millis(5);
/// Keys in one transaction: a condition and a write each, of 128 that the store accepts.
const KEYS_MAX: usize = 60;
/// Bytes of values in one transaction, below the 1 MB that the store accepts for one value.
const BYTES_MAX: usize = 512 * 1024;
/// Time for which one lease is used.
const LEASE_USE: Duration = Duration::from_hours(1);
/// Period of a lease: a key written at the end of its use still lasts 24 h.
const LEASE_PERIOD: Duration = Duration::from_hours(25);

/// A change of one claim key.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) path: Path,
    /// Revision of the claim that is changed; none to create it.
    pub(super) modified: Option<Revision>,
    /// The new value; none to remove the key.
    pub(super) value: Option<Vec<u8>>,
    pub(super) reply: oneshot::Sender<Result<Settled>>,
}

/// Result of a job.
#[derive(Debug)]
pub(super) enum Settled {
    /// In effect at this revision.
    Applied(Revision),
    /// Not in effect: the key has this state.
    Conflict(Option<Item>),
}

impl Job {
    fn compare(&self) -> Compare {
        let path = self.path.clone();
        match self.modified {
            None => Compare::Absent(path),
            Some(revision) => Compare::Modified(path, revision),
        }
    }

    fn write(&self, lease: Lease) -> Write {
        let path = self.path.clone();
        match &self.value {
            None => Write::Delete(path),
            Some(value) => Write::Put(path, value.clone(), Some(lease)),
        }
    }

    fn size(&self) -> usize {
        self.value.as_ref().map_or(0, Vec::len)
    }

    fn settle(self, result: Result<Settled>) {
        // The receiver is gone if its actor has ended.
        let _gone = self.reply.send(result);
    }

    /// Whether the present state shows that the job took effect. Values name the incarnation and
    /// the attempt, so that no other writer produces the same.
    fn done(&self, item: Option<&Item>) -> Option<Revision> {
        match (&self.value, item) {
            (Some(value), Some(item)) if item.value == *value => Some(item.modified),
            (None, None) => Some(Revision::default()),
            _ => None,
        }
    }
}

/// Joins jobs into transactions.
#[derive(Debug)]
pub(super) struct Batcher {
    store: Rc<dyn Store>,
    clock: clock::Shared,
    jobs: mpsc::UnboundedReceiver<Job>,
    queue: VecDeque<Job>,
    lease: Option<(Lease, Instant)>,
}

impl Batcher {
    pub(super) fn new(
        store: Rc<dyn Store>,
        clock: clock::Shared,
        jobs: mpsc::UnboundedReceiver<Job>,
    ) -> Self {
        Self {
            store,
            clock,
            jobs,
            queue: VecDeque::new(),
            lease: None,
        }
    }

    /// Runs until the sender of jobs is dropped.
    pub(super) async fn run(mut self) {
        loop {
            if self.queue.is_empty() {
                match self.jobs.recv().await {
                    Some(job) => self.queue.push_back(job),
                    None => return,
                }
            }
            time::sleep(INTERVAL).await;
            while let Ok(job) = self.jobs.try_recv() {
                self.queue.push_back(job);
            }
            let batch = self.take();
            self.commit(batch).await;
        }
    }

    /// Takes jobs of different keys, in order, within the limits of one transaction.
    fn take(&mut self) -> Vec<Job> {
        let (mut batch, mut later) = (Vec::new(), VecDeque::new());
        let (mut paths, mut bytes) = (HashSet::new(), 0);
        for job in self.queue.drain(..) {
            let fits = batch.len() < KEYS_MAX
                && (batch.is_empty() || bytes + job.size() <= BYTES_MAX)
                && !paths.contains(&job.path);
            paths.insert(job.path.clone());
            if fits {
                bytes += job.size();
                batch.push(job);
            } else {
                later.push_back(job);
            }
        }
        self.queue = later;
        batch
    }

    async fn commit(&mut self, batch: Vec<Job>) {
        let lease = match self.lease().await {
            Ok(lease) => lease,
            Err(error) => return fail(batch, error.kind(), Executed::No),
        };
        let txn = Txn {
            compares: batch.iter().map(Job::compare).collect(),
            writes: batch.iter().map(|job| job.write(lease)).collect(),
        };
        match self.store.commit(txn).await {
            Ok(commit) if commit.succeeded => {
                for job in batch {
                    job.settle(Ok(Settled::Applied(commit.revision)));
                }
            }
            Ok(commit) => self.split(batch, &commit),
            Err(error) if error.executed() == Executed::Unknown => self.read_back(batch).await,
            Err(error) => {
                // The lease may be the reason, for example after the store was reset.
                self.lease = None;
                fail(batch, error.kind(), Executed::No);
            }
        }
    }

    /// Settles the jobs whose condition failed, and queues the others again.
    fn split(&mut self, batch: Vec<Job>, commit: &Commit) {
        for job in batch.into_iter().rev() {
            let item = commit.found.iter().find(|item| item.path == job.path);
            if item.map(|item| item.modified) == job.modified {
                self.queue.push_front(job);
            } else {
                job.settle(Ok(Settled::Conflict(item.cloned())));
            }
        }
    }

    /// Settles jobs whose answer was lost. A job that is not in effect may still take effect when
    /// its write arrives late, so its state stays unknown.
    async fn read_back(&self, batch: Vec<Job>) {
        let reads = batch.iter().map(|job| self.store.get(job.path.clone()));
        let ranges = join_all(reads).await;
        for (job, range) in batch.into_iter().zip(ranges) {
            let lost = || {
                Error::new(Kind::StoreUnavailable, "the answer of the store was lost")
                    .with_executed(Executed::Unknown)
            };
            let result = range.map_err(|_error| lost()).and_then(|range| {
                let item = range.items.into_iter().next();
                match (job.done(item.as_ref()), item) {
                    (Some(revision), _) => Ok(Settled::Applied(revision)),
                    (None, Some(item)) if job.modified != Some(item.modified) => {
                        Ok(Settled::Conflict(Some(item)))
                    }
                    _ => Err(lost()),
                }
            });
            job.settle(result);
        }
    }

    async fn lease(&mut self) -> Result<Lease> {
        let now = self.clock.now();
        if let Some((lease, since)) = self.lease
            && now < since + LEASE_USE
        {
            return Ok(lease);
        }
        let lease = match self.store.grant(LEASE_PERIOD).await {
            // A lease whose number was lost binds no key, so that a second one does no harm.
            Err(error) if error.executed() == Executed::Unknown => {
                self.store.grant(LEASE_PERIOD).await?
            }
            granted => granted?,
        };
        self.lease = Some((lease, now));
        Ok(lease)
    }
}

fn fail(batch: Vec<Job>, kind: Kind, executed: Executed) {
    for job in batch {
        let error = Error::new(kind, "the claim could not be written").with_executed(executed);
        job.settle(Err(error));
    }
}
