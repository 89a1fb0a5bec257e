use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use mulberrymill::{
    clock,
    id::{Host, Zone},
};
use serde::{Deserialize, Serialize};

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to be replaced.
    Leaving,
}

/// A host as the list serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
    /// State of the host.
    pub state: State,
}

/// Configuration of a host list stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Hosts that are visible from the start.
    pub hosts: Vec<HostRecord>,
    /// Delay until a change is visible in the list.
    pub lag: Duration,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Changes stay invisible while this is on.
    Stale {
        /// Whether the fault is active.
        on: bool,
    },
    /// Every response to `GET /hosts` is delayed.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// Closes all connections and refuses new ones until [`Fault::Up`].
    Down,
    /// Ends [`Fault::Down`].
    Up,
}

/// State of the host list, independent of HTTP.
#[derive(Debug)]
pub struct HostList {
    clock: clock::Shared,
    lag: Duration,
    visible: BTreeMap<Host, HostRecord>,
    pending: VecDeque<(Instant, HostRecord)>,
    stale: bool,
}

impl HostList {
    /// Creates a list in which the configured hosts are visible immediately.
    #[must_use]
    pub fn new(config: Config, clock: clock::Shared) -> Self {
        let entries = config.hosts.into_iter();
        Self {
            clock,
            lag: config.lag,
            visible: entries
                .map(|record| (record.host.clone(), record))
                .collect(),
            pending: VecDeque::new(),
            stale: false,
        }
    }

    /// Sets the state of a host, visible after the delay. Without `zone`, a known host keeps its
    /// zone; returns `false` and changes nothing if the zone is unknown.
    pub fn set(&mut self, host: Host, zone: Option<Zone>, state: State) -> bool {
        let latest_first = self.pending.iter().rev().map(|(_, record)| record);
        let known = latest_first.chain(self.visible.values());
        let same = known
            .filter(|record| record.host == host)
            .map(|record| record.zone.clone());
        let Some(zone) = zone.or_else(|| same.into_iter().next()) else {
            return false;
        };
        let record = HostRecord { host, zone, state };
        self.pending
            .push_back((self.clock.now() + self.lag, record));
        true
    }

    /// Applies the changes that are due and returns the visible hosts, sorted by name.
    pub fn visible_hosts(&mut self) -> Vec<HostRecord> {
        let now = self.clock.now();
        while !self.stale && self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, record)) = self.pending.pop_front() {
                self.visible.insert(record.host.clone(), record);
            }
        }
        self.visible.values().cloned().collect()
    }

    /// Starts or ends [`Fault::Stale`]. Changes that are already due become visible first.
    pub fn set_stale(&mut self, stale: bool) {
        self.visible_hosts();
        self.stale = stale;
    }
}
