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

/// Shortest time between two transactions: an agent commits at most 200 per second.
const TXN_INTERVAL: Duration = Duration::from_millis(5);
/// Keys per transaction. Each takes a condition and a write, of which the store accepts 128.
const TXN_KEYS_MAX: usize = 60;
/// Bytes of values per transaction, below the 1 MB that the store accepts for one value.
const TXN_VALUE_BYTES_MAX: usize = 512 * 1024;
/// Time for which new keys are attached to the same lease.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// TTL of a lease. A key that is attached at the end of `LEASE_REUSE` still lasts 24 h.
const LEASE_TTL: Duration = Duration::from_hours(25);

/// A conditional write (compare-and-swap) of one claim key.
#[derive(Debug)]
pub(super) struct CasRequest {
    pub(super) path: Path,
    /// Expected revision of the key; `None` if the key must not exist.
    pub(super) expected: Option<Revision>,
    /// The new value; `None` to remove the key.
    pub(super) value: Option<Vec<u8>>,
    pub(super) reply: oneshot::Sender<Result<CasResult>>,
}

/// Result of a [`CasRequest`].
#[derive(Debug)]
pub(super) enum CasResult {
    /// The write took effect at this revision.
    Applied(Revision),
    /// The condition failed; the key has this state.
    Conflict(Option<Item>),
}

impl CasRequest {
    fn compare(&self) -> Compare {
        let path = self.path.clone();
        match self.expected {
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

    fn send_reply(self, result: Result<CasResult>) {
        // The receiver is dropped when its actor stops.
        let _closed = self.reply.send(result);
    }

    /// Returns the revision of the write if the current item shows that it took effect. Values name
    /// the incarnation and the attempt, so no other writer produces the same value.
    fn applied_revision(&self, item: Option<&Item>) -> Option<Revision> {
        match (&self.value, item) {
            (Some(value), Some(item)) if item.value == *value => Some(item.modified),
            (None, None) => Some(Revision::default()),
            _ => None,
        }
    }
}

/// Combines requests into transactions.
#[derive(Debug)]
pub(super) struct Batcher {
    store: Rc<dyn Store>,
    clock: clock::Shared,
    requests: mpsc::UnboundedReceiver<CasRequest>,
    /// Requests received but not yet committed.
    queue: VecDeque<CasRequest>,
    /// Lease for new keys, and the time at which it was requested.
    lease: Option<(Lease, Instant)>,
}

impl Batcher {
    pub(super) fn new(
        store: Rc<dyn Store>,
        clock: clock::Shared,
        requests: mpsc::UnboundedReceiver<CasRequest>,
    ) -> Self {
        Self {
            store,
            clock,
            requests,
            queue: VecDeque::new(),
            lease: None,
        }
    }

    /// Commits requests until their senders are dropped.
    pub(super) async fn run(mut self) {
        loop {
            if self.queue.is_empty() {
                match self.requests.recv().await {
                    Some(request) => self.queue.push_back(request),
                    None => return,
                }
            }
            time::sleep(TXN_INTERVAL).await;
            while let Ok(request) = self.requests.try_recv() {
                self.queue.push_back(request);
            }
            let batch = self.next_batch();
            self.commit(batch).await;
        }
    }

    /// Takes requests for distinct keys, in order, within the limits of one transaction.
    fn next_batch(&mut self) -> Vec<CasRequest> {
        let (mut batch, mut later) = (Vec::new(), VecDeque::new());
        let (mut paths, mut bytes) = (HashSet::new(), 0);
        for request in self.queue.drain(..) {
            let fits = batch.len() < TXN_KEYS_MAX
                && (batch.is_empty() || bytes + request.size() <= TXN_VALUE_BYTES_MAX)
                && !paths.contains(&request.path);
            paths.insert(request.path.clone());
            if fits {
                bytes += request.size();
                batch.push(request);
            } else {
                later.push_back(request);
            }
        }
        self.queue = later;
        batch
    }

    async fn commit(&mut self, batch: Vec<CasRequest>) {
        let lease = match self.current_lease().await {
            Ok(lease) => lease,
            Err(error) => return fail_all(batch, error.kind(), Executed::No),
        };
        let txn = Txn {
            compares: batch.iter().map(CasRequest::compare).collect(),
            writes: batch.iter().map(|request| request.write(lease)).collect(),
        };
        match self.store.commit(txn).await {
            Ok(commit) if commit.succeeded => {
                for request in batch {
                    request.send_reply(Ok(CasResult::Applied(commit.revision)));
                }
            }
            Ok(commit) => self.requeue_without_conflicts(batch, &commit),
            Err(error) if error.executed() == Executed::Unknown => self.read_back(batch).await,
            Err(error) => {
                // The lease may be invalid, for example after the store was reset.
                self.lease = None;
                fail_all(batch, error.kind(), Executed::No);
            }
        }
    }

    /// Replies to the requests whose condition failed, and queues the others again.
    fn requeue_without_conflicts(&mut self, batch: Vec<CasRequest>, commit: &Commit) {
        for request in batch.into_iter().rev() {
            let item = commit.found.iter().find(|item| item.path == request.path);
            if item.map(|item| item.modified) == request.expected {
                self.queue.push_front(request);
            } else {
                request.send_reply(Ok(CasResult::Conflict(item.cloned())));
            }
        }
    }

    /// Replies to the requests of a transaction whose response was lost, after reading their keys.
    /// A write that has not taken effect may still arrive late, so its result stays unknown.
    async fn read_back(&self, batch: Vec<CasRequest>) {
        let reads = batch
            .iter()
            .map(|request| self.store.get(request.path.clone()));
        let ranges = join_all(reads).await;
        for (request, range) in batch.into_iter().zip(ranges) {
            let unknown = || {
                Error::new(Kind::StoreUnavailable, "the answer of the store was lost")
                    .with_executed(Executed::Unknown)
            };
            let result = range.map_err(|_error| unknown()).and_then(|range| {
                let item = range.items.into_iter().next();
                match (request.applied_revision(item.as_ref()), item) {
                    (Some(revision), _) => Ok(CasResult::Applied(revision)),
                    (None, Some(item)) if request.expected != Some(item.modified) => {
                        Ok(CasResult::Conflict(Some(item)))
                    }
                    _ => Err(unknown()),
                }
            });
            request.send_reply(result);
        }
    }

    async fn current_lease(&mut self) -> Result<Lease> {
        let now = self.clock.now();
        if let Some((lease, since)) = self.lease
            && now < since + LEASE_REUSE
        {
            return Ok(lease);
        }
        let lease = match self.store.grant(LEASE_TTL).await {
            // No key is attached to a lease whose id was lost, so a second grant is harmless.
            Err(error) if error.executed() == Executed::Unknown => {
                self.store.grant(LEASE_TTL).await?
            }
            granted => granted?,
        };
        self.lease = Some((lease, now));
        Ok(lease)
    }
}

fn fail_all(batch: Vec<CasRequest>, kind: Kind, executed: Executed) {
    for request in batch {
        let error = Error::new(kind, "the claim could not be written").with_executed(executed);
        request.send_reply(Err(error));
    }
}
