use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::{
    Change, Commit, Compare, Era, Event, Item, Lease, Path, Position, Range, Result, Txn, Write,
};
use crate::{
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Number of events kept for watches that start at a past revision. A watch from an earlier
/// revision fails, like a watch from a compacted revision of etcd.
const HISTORY_MAX_EVENTS: usize = 4096;

#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    lease: Option<Lease>,
}

#[derive(Clone, Debug)]
struct LeaseState {
    period: Duration,
    expires: Instant,
}

/// Keys, leases and event history of an in-memory store. The current time is an argument of the
/// calls that need it.
#[derive(Clone, Debug)]
pub(super) struct Keyspace {
    pub(super) era: Era,
    revision: u64,
    entries: BTreeMap<Path, Entry>,
    leases: BTreeMap<i64, LeaseState>,
    last_lease: i64,
    history: VecDeque<Event>,
    /// Highest revision whose events have been dropped from the history.
    compacted: Revision,
}

impl Keyspace {
    pub(super) fn new() -> Self {
        Self {
            era: Era::default(),
            // Like etcd, which starts at revision 1.
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            compacted: Revision::default(),
        }
    }

    pub(super) fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    /// Time at which the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|state| state.expires).min()
    }

    /// Removes expired leases and their keys. Returns whether there were any.
    pub(super) fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, state)| state.expires <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in &expired {
            self.revoke(self.lease(*number));
        }
        !expired.is_empty()
    }

    pub(super) fn get(&self, path: &Path) -> Range {
        let items = self.entries.get(path).map(|entry| entry.item.clone());
        Range {
            items: items.into_iter().collect(),
            revision: self.revision(),
            era: self.era,
        }
    }

    pub(super) fn range(&self, prefix: &Path) -> Range {
        let items = self
            .entries
            .range(prefix..)
            .take_while(|(path, _)| path.as_str().starts_with(prefix.as_str()))
            .map(|(_, entry)| entry.item.clone())
            .collect();
        Range {
            items,
            revision: self.revision(),
            era: self.era,
        }
    }

    pub(super) fn commit(&mut self, txn: Txn) -> Result<Commit> {
        if !txn
            .compares
            .iter()
            .all(|compare| self.is_satisfied(compare))
        {
            return Ok(Commit {
                succeeded: false,
                revision: self.revision(),
                found: self.found(&txn.compares),
            });
        }
        self.check_leases(&txn.writes)?;
        let revision = Revision::new(self.revision + 1);
        let mut changed = false;
        for write in txn.writes {
            changed |= match write {
                Write::Put(path, value, lease) => self.put(path, value, lease, revision),
                Write::Delete(path) => self.delete(path, revision),
            };
        }
        if changed {
            self.revision = revision.get();
        }
        Ok(Commit {
            succeeded: true,
            revision: self.revision(),
            found: Vec::new(),
        })
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let item = self.entries.get(compare.path()).map(|entry| &entry.item);
        match compare {
            Compare::Absent(_) => item.is_none(),
            Compare::Modified(_, revision) => item.is_some_and(|item| item.modified == *revision),
            Compare::Created(_, revision) => item.is_some_and(|item| item.created == *revision),
        }
    }

    fn found(&self, compares: &[Compare]) -> Vec<Item> {
        let mut paths: Vec<&Path> = compares.iter().map(Compare::path).collect();
        paths.sort();
        paths.dedup();
        paths
            .into_iter()
            .filter_map(|path| self.entries.get(path))
            .map(|entry| entry.item.clone())
            .collect()
    }

    fn check_leases(&self, writes: &[Write]) -> Result<()> {
        let all_exist = writes.iter().all(|write| match write {
            Write::Put(_, _, Some(lease)) => self.has_lease(*lease),
            _ => true,
        });
        if all_exist {
            return Ok(());
        }
        let error = Error::new(Kind::StoreUnavailable, "the lease has lapsed");
        Err(error.with_executed(Executed::No))
    }

    fn put(&mut self, path: Path, value: Vec<u8>, lease: Option<Lease>, at: Revision) -> bool {
        let created = self.entries.get(&path).map_or(at, |old| old.item.created);
        let item = Item {
            path: path.clone(),
            value: value.clone(),
            created,
            modified: at,
        };
        self.entries.insert(path.clone(), Entry { item, lease });
        self.record(path, Change::Put(value), at);
        true
    }

    fn delete(&mut self, path: Path, at: Revision) -> bool {
        let removed = self.entries.remove(&path).is_some();
        if removed {
            self.record(path, Change::Delete, at);
        }
        removed
    }

    fn record(&mut self, path: Path, change: Change, revision: Revision) {
        self.history.push_back(Event {
            path,
            change,
            revision,
        });
        if self.history.len() > HISTORY_MAX_EVENTS
            && let Some(dropped) = self.history.pop_front()
        {
            self.compacted = dropped.revision;
        }
    }

    fn lease(&self, number: i64) -> Lease {
        Lease::new(number).with_era(self.era)
    }

    fn has_lease(&self, lease: Lease) -> bool {
        lease.era() == self.era && self.leases.contains_key(&lease.get())
    }

    pub(super) fn grant(&mut self, period: Duration, now: Instant) -> Lease {
        self.last_lease += 1;
        let expires = now + period;
        self.leases
            .insert(self.last_lease, LeaseState { period, expires });
        self.lease(self.last_lease)
    }

    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> bool {
        if !self.has_lease(lease) {
            return false;
        }
        let Some(state) = self.leases.get_mut(&lease.get()) else {
            return false;
        };
        state.expires = now + state.period;
        true
    }

    pub(super) fn revoke(&mut self, lease: Lease) {
        if !self.has_lease(lease) {
            return;
        }
        self.leases.remove(&lease.get());
        let bound: Vec<Path> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease.is_some_and(|bound| bound.get() == lease.get()))
            .map(|(path, _)| path.clone())
            .collect();
        if bound.is_empty() {
            return;
        }
        self.revision += 1;
        for path in bound {
            self.delete(path, self.revision());
        }
    }

    /// Events of keys with `prefix`, at position `from` or later.
    pub(super) fn events(&self, prefix: &Path, from: Position) -> Result<Vec<Event>> {
        if from.era.is_some_and(|era| era != self.era) {
            return Err(Error::new(Kind::StoreRestored, "the store was restored"));
        }
        let from = from.revision;
        if from <= self.compacted {
            let detail = "the watched revision is no longer kept";
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        let first = self.history.partition_point(|event| event.revision < from);
        let events = self.history.range(first..);
        Ok(events
            .filter(|event| event.path.as_str().starts_with(prefix.as_str()))
            .cloned()
            .collect())
    }
}
