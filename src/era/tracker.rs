use std::{
    fmt,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::Record;
use crate::{store::Era, wire::KnownEra};

/// The era of the store, and since when it is known. The store has lost nothing in that time.
#[derive(Debug)]
pub struct Tracker {
    stated: watch::Receiver<Option<Era>>,
    /// Since when this process has known the era: its start, or the last change.
    known_since: Instant,
    /// The newest era in the digests of peers or in a record, and since when it is known there. It may be newer
    /// than the one that the store has stated to this process.
    peers: Option<(Option<Era>, Instant)>,
}

impl Tracker {
    /// `stated` is the era in the answers of the store.
    #[must_use]
    pub fn new(stated: watch::Receiver<Option<Era>>, now: Instant) -> Self {
        Self {
            stated,
            known_since: now,
            peers: None,
        }
    }

    /// Notes whether the store has stated another era, or its first one, and returns whether it has.
    pub fn observe(&mut self, now: Instant) -> bool {
        if !self.has_changed() {
            return false;
        }
        self.stated.mark_unchanged();
        self.known_since = now;
        true
    }

    /// Notes for how long a peer has known an era.
    pub fn observe_peer(&mut self, known: KnownEra, now: Instant) {
        let since = now.checked_sub(known.age).unwrap_or(now);
        match &mut self.peers {
            Some((era, _)) if *era > known.stated => {}
            Some((era, first)) if *era == known.stated => *first = since.min(*first),
            peers => *peers = Some((known.stated, since)),
        }
    }

    /// Notes a record of the store. `unix` is the Unix time now.
    pub fn observe_record(&mut self, record: &Record, unix: Duration, now: Instant) {
        let stated = *self.stated.borrow();
        if stated.unwrap_or_default() == record.era {
            let age = record.age(unix);
            self.observe_peer(KnownEra { stated, age }, now);
        }
    }

    /// Since when this process, a peer or the record of the store has known the era.
    #[must_use]
    pub fn known_since(&self) -> Instant {
        let stated = *self.stated.borrow();
        match self.peers {
            Some((era, first)) if era == stated => first.min(self.known_since),
            _ => self.known_since,
        }
    }

    /// What the store may keep of this; `None` until a change has been noted. `unix` is the Unix time now.
    #[must_use]
    pub fn record(&self, unix: Duration, now: Instant) -> Option<Record> {
        let KnownEra { stated, age } = self.known(now)?;
        Some(Record {
            era: stated.unwrap_or_default(),
            since: unix.saturating_sub(age),
        })
    }

    /// What is sent to peers; `None` until a change has been noted.
    #[must_use]
    pub fn known(&self, now: Instant) -> Option<KnownEra> {
        let age = now.saturating_duration_since(self.known_since());
        let stated = *self.stated.borrow();
        (!self.has_changed()).then_some(KnownEra { stated, age })
    }

    fn has_changed(&self) -> bool {
        self.stated.has_changed().unwrap_or(false)
    }
}

impl fmt::Display for Tracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self.stated.borrow() {
            Some(era) => fmt::Display::fmt(&era, f),
            None => f.write_str("none"),
        }
    }
}
