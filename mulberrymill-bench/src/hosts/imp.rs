use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use mulberrymill::{
    clock,
    id::{Host, Zone},
};
use serde::{Deserialize, Serialize};

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to be replaced.
    Leaving,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The host.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its state.
    pub state: State,
}

/// Settings of a host list.
#[derive(Clone, Debug)]
pub struct Config {
    /// Hosts at the start.
    pub hosts: Vec<Entry>,
    /// Time until a change shows in the list.
    pub lag: Duration,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// No change shows while on.
    Stale {
        /// On or off.
        on: bool,
    },
    /// Every answer takes this much longer.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// Connections are refused until `up`.
    Down,
    /// Accepts connections again.
    Up,
}

/// The list without sockets.
#[derive(Debug)]
pub struct Model {
    clock: clock::Shared,
    lag: Duration,
    visible: BTreeMap<Host, Entry>,
    changes: VecDeque<(Instant, Entry)>,
    stale: bool,
}

impl Model {
    /// A list whose first hosts show at once.
    #[must_use]
    pub fn new(config: Config, clock: clock::Shared) -> Self {
        let entries = config.hosts.into_iter();
        Self {
            clock,
            lag: config.lag,
            visible: entries.map(|entry| (entry.host.clone(), entry)).collect(),
            changes: VecDeque::new(),
            stale: false,
        }
    }

    /// Records the state of a host. Without a zone, a known host keeps its own; returns whether
    /// the zone is known.
    pub fn set(&mut self, host: Host, zone: Option<Zone>, state: State) -> bool {
        let pending = self.changes.iter().rev().map(|(_, entry)| entry);
        let known = pending.chain(self.visible.values());
        let same = known
            .filter(|entry| entry.host == host)
            .map(|entry| entry.zone.clone());
        let Some(zone) = zone.or_else(|| same.into_iter().next()) else {
            return false;
        };
        let entry = Entry { host, zone, state };
        self.changes.push_back((self.clock.now() + self.lag, entry));
        true
    }

    /// The hosts as the list shows them now.
    pub fn list(&mut self) -> Vec<Entry> {
        let now = self.clock.now();
        while !self.stale && self.changes.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, entry)) = self.changes.pop_front() {
                self.visible.insert(entry.host.clone(), entry);
            }
        }
        self.visible.values().cloned().collect()
    }

    /// Makes the list stand still, or move again.
    pub fn set_stale(&mut self, stale: bool) {
        self.list();
        self.stale = stale;
    }
}
