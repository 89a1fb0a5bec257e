use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Availability, Budget, Update,
    order::{Last, Write},
};
use crate::{
    error::{Error, Kind, Result},
    id::{Endpoint, Revision, Service, Zone},
    route::Plan,
    store::{Change, Event, Item, Path},
};

/// Time after the return of the store in which live endpoints register again. Missing entries stay usable
/// for as long, and not longer: an entry can also be missing because its endpoint has left.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Minimum duration of an outage, in heartbeats, for missing entries to be attributed to it.
/// An entry expires after three heartbeats without renewal.
const OUTAGE_HEARTBEATS: u32 = 2;

/// Time for which a removed endpoint is remembered. It is longer than a copy of the store is old, and
/// than an endpoint that has left stays listed after a restore.
const DEPARTED_TTL: Duration = Duration::from_mins(1);
/// Maximum number of removed endpoints that are remembered.
const DEPARTED_MAX: usize = 1_024;

/// Stage of generation in which an engine specializes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// Processes prompts and transfers their KV cache to a decode engine.
    Prefill,
    /// Generates tokens. Can process prompts too, at a lower speed.
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

/// When a run of an endpoint started, in milliseconds since the Unix epoch by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Started(u64);

impl Started {
    /// Creates a start time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }
}

impl fmt::Display for Started {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Started {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let millis = text.parse().map(Self);
        millis.map_err(|_error| Error::new(Kind::BadRequest, "invalid start time"))
    }
}

/// Place of a write among those of one run of an endpoint. Later ones are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sequence(u64);

impl Sequence {
    /// Creates a place from the number in the entry.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Sequence {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.parse().map(Self);
        number.map_err(|_error| Error::new(Kind::BadRequest, "invalid sequence number"))
    }
}

/// One run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id of this run. Another run at the same address has another id, or a later start.
    pub id: Endpoint,
    /// When this run started, if it says so. An endpoint can start again under the id that it had.
    pub started: Option<Started>,
    /// Service that it runs.
    pub service: Service,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is stopping and must get no new work.
    pub draining: bool,
    /// Stage of a specialized engine; `None` for all others.
    pub stage: Option<Stage>,
}

/// What the store lists of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Listing {
    /// It takes requests.
    #[default]
    Ready,
    /// It is stopping and must get no new work.
    Draining,
    /// Its entry was removed, or is that of another run now.
    Removed,
}

impl Listing {
    /// The state of a listed instance.
    #[must_use]
    pub const fn of(instance: &Instance) -> Self {
        if instance.draining {
            Self::Draining
        } else {
            Self::Ready
        }
    }
}

impl fmt::Display for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed => "removed",
        })
    }
}

/// Decodes values of the store.
pub trait Codec: fmt::Debug + Send + Sync {
    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not describe a usable endpoint, for example one of another writer.
    fn instance(&self, path: &Path, value: &[u8]) -> Result<Instance>;

    /// Decodes the place of an entry among the writes of its run, if it states one.
    fn sequence(&self, _value: &[u8]) -> Option<Sequence> {
        None
    }

    /// Decodes a version of the plan.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a plan.
    fn plan(&self, value: &[u8]) -> Result<Plan>;
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Arc<Instance>,
    last: Last,
    /// End of the grace period, if the entry is missing from the store.
    usable_until: Option<Instant>,
}

/// An endpoint whose entry was removed.
#[derive(Clone, Debug)]
struct Departed {
    last: Last,
    removed_at: Instant,
}

/// The usable endpoints: those in the store, and those in their grace period.
#[derive(Debug)]
pub struct Directory {
    codec: Arc<dyn Codec>,
    heartbeat: Duration,
    budget: Budget,
    /// Addresses at which this process listens.
    own_addresses: Vec<SocketAddr>,
    entries: BTreeMap<Path, Entry>,
    /// Why the other entries in the store are not used.
    unusable: BTreeMap<Path, String>,
    /// Endpoints that were removed lately, so that an older copy of the store does not list them again.
    departed: BTreeMap<Path, Departed>,
    /// Time of the last update from the store.
    last_update: Option<Instant>,
    /// End of the grace period of entries that are missing since the last restore, or since the last outage
    /// that was long enough for entries to expire.
    grace_until: Option<Instant>,
    /// Whether the store was unavailable since the last update.
    unavailable: bool,
    /// When the last call was made that failed in the current outage.
    failed_call: Option<Instant>,
}

impl Directory {
    /// Creates an empty directory. `heartbeat` is the interval at which endpoints renew their
    /// entries.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, heartbeat: Duration, budget: Budget) -> Self {
        Self {
            codec,
            heartbeat,
            budget,
            own_addresses: Vec::new(),
            entries: BTreeMap::new(),
            unusable: BTreeMap::new(),
            departed: BTreeMap::new(),
            last_update: None,
            grace_until: None,
            unavailable: false,
            failed_call: None,
        }
    }

    /// Sets the addresses at which this process listens. Entries with one of them are not used: they
    /// would send requests round and round.
    pub fn set_own_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.own_addresses = addresses;
    }

    /// Applies an update from the store.
    pub fn apply(&mut self, update: Update, now: Instant) {
        match update {
            Update::Snapshot(items) => {
                self.record_update(now);
                self.replace(items, now);
            }
            Update::Changes(events) => {
                self.record_update(now);
                for event in events {
                    self.change(event, now);
                }
            }
            Update::Availability(Availability::Unavailable) => self.unavailable = true,
            Update::Restored => self.record_restore(now),
            Update::Availability(Availability::Available(failed_call)) => {
                self.failed_call = Some(failed_call);
            }
        }
    }

    /// Removes entries whose grace period is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.departed
            .retain(|_, departed| now < departed.removed_at + DEPARTED_TTL);
        let expired = self.entries.extract_if(.., |_, entry| {
            entry.usable_until.is_some_and(|until| until <= now)
        });
        let expired: Vec<(Path, Entry)> = expired.collect();
        let any = !expired.is_empty();
        for (path, entry) in expired {
            log::info!(entry:% = path, endpoint:% = entry.instance.id;
                "endpoint removed: it did not register again in its grace period");
            self.remember(path, entry, now);
        }
        any
    }

    /// Returns the usable endpoints, including those that are draining.
    pub fn instances(&self) -> impl Iterator<Item = &Arc<Instance>> {
        self.entries.values().map(|entry| &entry.instance)
    }

    /// Records an update from the store, and the end of an outage if there was one.
    fn record_update(&mut self, now: Instant) {
        let long_outage = self.last_update.is_some_and(|last_update| {
            now.saturating_duration_since(last_update) >= self.heartbeat * OUTAGE_HEARTBEATS
        });
        if self.unavailable && long_outage {
            let grace_end = self.grace_end(now);
            self.grace_until = Some(grace_end);
            log::info!(away:? = self.last_update.map(|last_update| now - last_update),
                entries = self.entries.len(),
                grace_ms = grace_end.saturating_duration_since(now).as_millis();
                "store has recovered; missing endpoints stay usable for a grace period");
        }
        self.unavailable = false;
        self.failed_call = None;
        self.last_update = Some(now);
    }

    /// Starts a grace period: what was registered after the copy was taken is missing in it.
    fn record_restore(&mut self, now: Instant) {
        self.grace_until = Some(self.grace_end(now));
        for entry in self.entries.values_mut() {
            entry.last.record_restore();
        }
        for departed in self.departed.values_mut() {
            departed.last.record_restore();
        }
    }

    /// End of a grace period that starts now. The store returned before that was seen, at the earliest right
    /// after a call that failed, and may have acknowledged before the outage that an endpoint leaves.
    fn grace_end(&self, now: Instant) -> Instant {
        let end = now + REGISTRATION_TIME;
        let latest = self
            .failed_call
            .map(|failed_call| failed_call + REGISTRATION_TIME + self.budget.grace_excess());
        latest.map_or(end, |latest| end.min(latest))
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
        self.unusable.retain(|path, _| listed.contains_key(path));
        for item in listed.into_values() {
            self.put(item.path, &item.value, item.modified, now);
        }
    }

    fn change(&mut self, event: Event, now: Instant) {
        match event.change {
            Change::Put(value) => self.put(event.path, &value, event.revision, now),
            Change::Delete => {
                self.unusable.remove(&event.path);
                self.remove(&event.path, now);
            }
        }
    }

    fn put(&mut self, path: Path, value: &[u8], revision: Revision, now: Instant) {
        let known = self.entries.get(&path);
        if known.is_some_and(|entry| entry.last.is_after(revision)) {
            return;
        }
        let decoded = self.codec.instance(&path, value);
        let decoded = decoded.and_then(|instance| self.check_foreign(instance));
        let instance = match decoded {
            Ok(instance) => instance,
            Err(error) => {
                self.forget_unreadable(&path, now);
                self.record_unusable(path, revision, error.to_string());
                return;
            }
        };
        self.unusable.remove(&path);
        let write = Write {
            started: instance.started,
            sequence: self.codec.sequence(value),
            draining: instance.draining,
            revision,
            received_at: now,
        };
        if !self.is_newer(&path, &write) {
            log::info!(endpoint:% = instance.id, draining = instance.draining, revision:% = revision;
                "entry is older than what is known of the endpoint; skipped");
            return;
        }
        let unchanged = self
            .entries
            .get(&path)
            .filter(|entry| *entry.instance == instance);
        let instance = if let Some(entry) = unchanged {
            Arc::clone(&entry.instance)
        } else {
            log::info!(endpoint:% = instance.id, service:% = instance.service,
                address:% = instance.address, draining = instance.draining,
                revision:% = revision; "endpoint added or changed");
            Arc::new(instance)
        };
        let entry = Entry {
            instance,
            last: Last::new(write),
            usable_until: None,
        };
        self.departed.remove(&path);
        self.entries.insert(path, entry);
    }

    /// Removes the entry of an endpoint whose value cannot be read. After a restore the value can be that
    /// of the copy, so the endpoint counts as missing.
    fn forget_unreadable(&mut self, path: &Path, now: Instant) {
        if self
            .entries
            .get(path)
            .is_some_and(|entry| entry.last.is_restored())
        {
            self.remove(path, now);
        } else if let Some((path, entry)) = self.entries.remove_entry(path) {
            self.remember(path, entry, now);
        }
    }

    /// Fails for an endpoint at an address of this process.
    fn check_foreign(&self, instance: Instance) -> Result<Instance> {
        let address = instance.address;
        let is_own = self.own_addresses.iter().any(|own| {
            let is_local = own.ip().is_unspecified() && address.ip().is_loopback();
            own.port() == address.port() && (own.ip() == address.ip() || is_local)
        });
        if is_own {
            let detail = format!("{address} is an address of this process");
            return Err(Error::new(Kind::BadRequest, detail));
        }
        Ok(instance)
    }

    /// Logs why an entry is not used, once for each reason: its writer may repeat it without end.
    fn record_unusable(&mut self, path: Path, revision: Revision, reason: String) {
        if self.unusable.get(&path) != Some(&reason) {
            log::warn!(entry:% = path, revision:% = revision, error = reason;
                "entry does not describe a usable endpoint; skipped");
            self.unusable.insert(path, reason);
        }
    }

    /// Whether a write is newer than what is known of its entry. Ends the grace period of the entry.
    fn is_newer(&mut self, path: &Path, write: &Write) -> bool {
        let Some(entry) = self.entries.get_mut(path) else {
            let departed = self.departed.get_mut(path);
            return departed.is_none_or(|departed| departed.last.precedes(write, Listing::Removed));
        };
        let known = Listing::of(&entry.instance);
        // Even an older write shows that the entry is in the store.
        entry.usable_until = None;
        entry.last.precedes(write, known)
    }

    fn remove(&mut self, path: &Path, now: Instant) {
        let Some(entry) = self.entries.get_mut(path) else {
            return;
        };
        if let Some(end) = self
            .grace_until
            .filter(|end| now < *end && !entry.instance.draining)
        {
            entry.usable_until = Some(end);
        } else {
            log::info!(endpoint:% = entry.instance.id;
                "endpoint removed from the store");
            if let Some((path, entry)) = self.entries.remove_entry(path) {
                self.remember(path, entry, now);
            }
        }
    }

    /// Remembers a removed endpoint, in place of the one that was removed first if there are too many.
    fn remember(&mut self, path: Path, entry: Entry, now: Instant) {
        if self.departed.len() >= DEPARTED_MAX
            && let Some(oldest) = self
                .departed
                .iter()
                .min_by_key(|(_, departed)| departed.removed_at)
                .map(|(path, _)| path.clone())
        {
            self.departed.remove(&oldest);
        }
        let departed = Departed {
            last: Last::new(entry.last.into_write()),
            removed_at: now,
        };
        self.departed.insert(path, departed);
    }
}
