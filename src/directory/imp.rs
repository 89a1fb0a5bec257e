use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Contact, Feed};
use crate::{
    error::{Error, Kind, Result},
    id::{Endpoint, Revision, Service, Zone},
    route::Plan,
    store::{Change, Event, Item, Path},
};

/// Time after the store's return for which missing entries stay usable. Endpoints register again
/// within about two seconds. It must not be longer: an entry can also be missing because its
/// endpoint left just before the store's return, and it must get no request two seconds later.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// Heartbeats of endpoints for which the store must have been out of reach before entries can have
/// lapsed for that reason. An entry lapses after three.
const AWAY_HEARTBEATS: u32 = 2;

/// The part of generation that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts and hands over their KV cache.
    Prefill,
    /// Generates tokens. Reads prompts too, at a lower speed.
    Decode,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

impl FromStr for Stage {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(Error::new(Kind::BadRequest, "unknown stage")),
        }
    }
}

/// One run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id, which another run at the same address does not have.
    pub id: Endpoint,
    /// The service that it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and must get no new work.
    pub draining: bool,
    /// For engines that specialize: their stage.
    pub stage: Option<Stage>,
}

/// Decodes what lies in the store.
pub trait Codec: fmt::Debug + Send + Sync {
    /// An entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails on an entry that names no usable endpoint, such as one by another writer.
    fn instance(&self, path: &Path, value: &[u8]) -> Result<Instance>;

    /// A version of the plan.
    ///
    /// # Errors
    ///
    /// Fails on a value that is not a plan.
    fn plan(&self, value: &[u8]) -> Result<Plan>;
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Arc<Instance>,
    revision: Revision,
    /// When the entry stops being usable, if it is missing from the store.
    until: Option<Instant>,
}

/// The endpoints as the store lists them.
#[derive(Debug)]
pub struct Directory {
    codec: Arc<dyn Codec>,
    heartbeat: Duration,
    entries: BTreeMap<Path, Entry>,
    heard: Option<Instant>,
    returned: Option<Instant>,
    away: bool,
}

impl Directory {
    /// A directory without endpoints. `heartbeat` is the interval at which endpoints write.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, heartbeat: Duration) -> Self {
        Self {
            codec,
            heartbeat,
            entries: BTreeMap::new(),
            heard: None,
            returned: None,
            away: false,
        }
    }

    /// Takes in what the store says.
    pub fn apply(&mut self, feed: Feed, now: Instant) {
        match feed {
            Feed::Snapshot(items) => {
                self.hear(now);
                self.replace(items, now);
            }
            Feed::Changes(events) => {
                self.hear(now);
                for event in events {
                    self.change(event, now);
                }
            }
            Feed::Contact(Contact::Lost) => self.away = true,
            Feed::Contact(Contact::Regained) => {}
        }
    }

    /// Drops entries whose grace is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries.retain(|path, entry| {
            let keep = entry.until.is_none_or(|until| now < until);
            if !keep {
                log::info!(entry:% = path, endpoint:% = entry.instance.id;
                    "endpoint is gone: it did not register again");
            }
            keep
        });
        self.entries.len() != before
    }

    /// The endpoints, those that are draining included.
    pub fn instances(&self) -> impl Iterator<Item = &Arc<Instance>> {
        self.entries.values().map(|entry| &entry.instance)
    }

    /// Notes that the store has answered, and whether it had been away.
    fn hear(&mut self, now: Instant) {
        let long = self.heard.is_some_and(|heard| {
            now.saturating_duration_since(heard) >= self.heartbeat * AWAY_HEARTBEATS
        });
        if self.away && long {
            self.returned = Some(now);
            log::info!(away:? = self.heard.map(|heard| now - heard),
                entries = self.entries.len();
                "store has returned; missing endpoints stay usable for a short time");
        }
        self.away = false;
        self.heard = Some(now);
    }

    fn replace(&mut self, items: Vec<Item>, now: Instant) {
        let listed: BTreeMap<Path, Item> = items
            .into_iter()
            .map(|item| (item.path.clone(), item))
            .collect();
        let missing: Vec<Path> = self
            .entries
            .keys()
            .filter(|path| !listed.contains_key(*path))
            .cloned()
            .collect();
        for path in missing {
            self.remove(&path, now);
        }
        for item in listed.into_values() {
            self.put(item.path, &item.value, item.modified);
        }
    }

    fn change(&mut self, event: Event, now: Instant) {
        match event.change {
            Change::Put(value) => self.put(event.path, &value, event.revision),
            Change::Delete => self.remove(&event.path, now),
        }
    }

    fn put(&mut self, path: Path, value: &[u8], revision: Revision) {
        let known = self.entries.get(&path);
        if known.is_some_and(|entry| entry.revision > revision) {
            return;
        }
        let instance = match self.codec.instance(&path, value) {
            Ok(instance) => instance,
            Err(error) => {
                log::warn!(entry:% = path, revision:% = revision, error:% = error;
                    "entry names no usable endpoint; skipped");
                self.entries.remove(&path);
                return;
            }
        };
        let same = known.filter(|entry| *entry.instance == instance);
        let instance = if let Some(entry) = same {
            Arc::clone(&entry.instance)
        } else {
            log::info!(endpoint:% = instance.id, service:% = instance.service,
                address:% = instance.address, draining = instance.draining,
                revision:% = revision; "endpoint has changed");
            Arc::new(instance)
        };
        let entry = Entry {
            instance,
            revision,
            until: None,
        };
        self.entries.insert(path, entry);
    }

    fn remove(&mut self, path: &Path, now: Instant) {
        let grace_end = self.returned.map(|returned| returned + RETURN_GRACE);
        let Some(entry) = self.entries.get_mut(path) else {
            return;
        };
        if let Some(end) = grace_end.filter(|end| now < *end && !entry.instance.draining) {
            entry.until = Some(end);
        } else {
            log::info!(endpoint:% = entry.instance.id, revision:% = entry.revision;
                "endpoint has left the store");
            self.entries.remove(path);
        }
    }
}
