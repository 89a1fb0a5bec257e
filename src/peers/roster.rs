use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{
    directory::Feed,
    id::Process,
    store::{Change, Path},
};

/// Gateways on either side of the ring that a gateway is linked with. Up to 25 gateways are all
/// linked with each other; with more of them the number of messages per gateway stays the same.
pub const REACH: usize = 12;

/// The gateways that the store lists.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    addresses: BTreeMap<Process, SocketAddr>,
}

impl Roster {
    /// A roster without gateways.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what the store says.
    pub fn apply(&mut self, feed: Feed) {
        match feed {
            Feed::Snapshot(items) => {
                self.addresses.clear();
                for item in items {
                    self.put(&item.path, &item.value);
                }
            }
            Feed::Changes(events) => {
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
            Feed::Contact(_) => {}
        }
    }

    /// Number of gateways besides `own`.
    #[must_use]
    pub fn others(&self, own: &Process) -> usize {
        self.addresses.len() - usize::from(self.addresses.contains_key(own))
    }

    /// The gateways that `own` is to be linked with, and where they listen. The relation is
    /// symmetric.
    #[must_use]
    pub fn linked(&self, own: &Process) -> BTreeMap<Process, SocketAddr> {
        let mut ring: Vec<&Process> = self.addresses.keys().collect();
        // Names tell the zone; hashes mix the zones, so that a sample stands for the whole.
        ring.sort_by_key(|process| {
            let mut hasher = DefaultHasher::new();
            process.hash(&mut hasher);
            hasher.finish()
        });
        let Some(place) = ring.iter().position(|process| *process == own) else {
            return BTreeMap::new();
        };
        let near = ring.iter().enumerate().filter(|(other, _)| {
            let steps = place.abs_diff(*other);
            (1..=REACH).contains(&steps.min(ring.len() - steps))
        });
        near.map(|(_, process)| ((*process).clone(), self.addresses[*process]))
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
            _ => log::warn!(entry:% = path; "entry names no gateway; skipped"),
        }
    }
}

fn process(path: &Path) -> Option<Process> {
    path.as_str().rsplit('/').next()?.parse().ok()
}
