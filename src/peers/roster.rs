use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{
    directory::Update,
    id::Process,
    store::{Change, Path},
};

/// Neighbors on either side of the ring that a gateway is linked with. Up to 25 gateways form a
/// full mesh; with more of them the number of messages per gateway stays constant.
pub const NEIGHBORS_PER_SIDE: usize = 12;

/// The registered gateways and their addresses, as listed in the store.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    addresses: BTreeMap<Process, SocketAddr>,
}

impl Roster {
    /// Creates an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a snapshot or changes from the store. An entry that names no gateway is logged and
    /// skipped.
    pub fn apply(&mut self, update: Update) {
        match update {
            Update::Snapshot(items) => {
                self.addresses.clear();
                for item in items {
                    self.put(&item.path, &item.value);
                }
            }
            Update::Changes(events) => {
                for event in events {
                    match event.change {
                        Change::Put(value) => self.put(&event.path, &value),
                        Change::Delete => {
                            if let Some(process) = process(&event.path) {
                                self.addresses.remove(&process);
                            }
                        }
                    }
                }
            }
            Update::Restored | Update::Availability(_) => {}
        }
    }

    /// Names of the registered gateways.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.addresses.keys()
    }

    /// Number of registered gateways other than `own`.
    #[must_use]
    pub fn count_others(&self, own: &Process) -> usize {
        self.addresses.len() - usize::from(self.addresses.contains_key(own))
    }

    /// The gateways that `own` is to be linked with, and their addresses. The relation is
    /// symmetric. Empty if `own` is not registered.
    #[must_use]
    pub fn neighbors(&self, own: &Process) -> BTreeMap<Process, SocketAddr> {
        let mut ring: Vec<&Process> = self.addresses.keys().collect();
        // Names contain the zone. Ordering by hash mixes the zones, so that the neighbors are a
        // representative sample of all gateways.
        ring.sort_by_key(|process| {
            let mut hasher = DefaultHasher::new();
            process.hash(&mut hasher);
            hasher.finish()
        });
        let Some(position) = ring.iter().position(|process| *process == own) else {
            return BTreeMap::new();
        };
        let neighbors = ring.iter().enumerate().filter(|(other, _)| {
            let distance = position.abs_diff(*other);
            (1..=NEIGHBORS_PER_SIDE).contains(&distance.min(ring.len() - distance))
        });
        neighbors
            .map(|(_, process)| ((*process).clone(), self.addresses[*process]))
            .collect()
    }

    fn put(&mut self, path: &Path, value: &[u8]) {
        let address = std::str::from_utf8(value)
            .ok()
            .and_then(|text| text.parse().ok());
        match (process(path), address) {
            (Some(process), Some(address)) => {
                self.addresses.insert(process, address);
            }
            _ => {
                log::warn!(entry:% = path; "skipping entry that names no gateway");
            }
        }
    }
}

fn process(path: &Path) -> Option<Process> {
    path.as_str().rsplit('/').next()?.parse().ok()
}
