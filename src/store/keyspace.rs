use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Change, Commit, Compare, Event, Item, Lease, Path, Range, Result, Txn, Write};
use crate::{
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Events kept for watches that start in the past. A watch from before them fails, as it does
/// after a compaction of the real store.
const HISTORY_MAX: usize = 4096;

#[derive(Debug)]
struct Entry {
    item: Item,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Term {
    period: Duration,
    expires: Instant,
}

/// Keys, leases and history of an in-memory store. Time is an argument of each call.
#[derive(Debug)]
pub(super) struct Keyspace {
    revision: u64,
    entries: BTreeMap<Path, Entry>,
    leases: BTreeMap<i64, Term>,
    last_lease: i64,
    history: VecDeque<Event>,
    /// Highest revision whose events have been dropped from the history.
    compacted: Revision,
}

impl Keyspace {
    pub(super) fn new() -> Self {
        Self {
            // etcd starts at revision 1 as well.
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

    /// Time at which the next lease lapses.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|term| term.expires).min()
    }

    /// Removes lapsed leases and their keys. Returns whether a lease lapsed.
    pub(super) fn sweep(&mut self, now: Instant) -> bool {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, term)| term.expires <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in &lapsed {
            self.revoke(Lease::new(*number));
        }
        !lapsed.is_empty()
    }

    pub(super) fn get(&self, path: &Path) -> Range {
        let items = self.entries.get(path).map(|entry| entry.item.clone());
        Range {
            items: items.into_iter().collect(),
            revision: self.revision(),
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
        }
    }

    pub(super) fn commit(&mut self, txn: Txn) -> Result<Commit> {
        if !txn.compares.iter().all(|compare| self.holds(compare)) {
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

    fn holds(&self, compare: &Compare) -> bool {
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
        let known = writes.iter().all(|write| match write {
            Write::Put(_, _, Some(lease)) => self.leases.contains_key(&lease.get()),
            _ => true,
        });
        if known {
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
        if self.history.len() > HISTORY_MAX
            && let Some(dropped) = self.history.pop_front()
        {
            self.compacted = dropped.revision;
        }
    }

    pub(super) fn grant(&mut self, period: Duration, now: Instant) -> Lease {
        self.last_lease += 1;
        let expires = now + period;
        self.leases
            .insert(self.last_lease, Term { period, expires });
        Lease::new(self.last_lease)
    }

    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> bool {
        let Some(term) = self.leases.get_mut(&lease.get()) else {
            return false;
        };
        term.expires = now + term.period;
        true
    }

    pub(super) fn revoke(&mut self, lease: Lease) {
        if self.leases.remove(&lease.get()).is_none() {
            return;
        }
        let bound: Vec<Path> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
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

    /// Events below `prefix` from a revision on.
    pub(super) fn events(&self, prefix: &Path, from: Revision) -> Result<Vec<Event>> {
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
