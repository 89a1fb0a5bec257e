use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::served::Served;
use crate::{
    id::{Endpoint, PromptPart},
    unit::as_f64,
    wire::{Crash, PartReport},
};

/// Crashes after which a part is held that no engine has answered yet. A rare part can be running by
/// chance when an engine ends, hardly three times before its first answer.
const CRASHES_MIN: usize = 3;
/// Crashes since its last answer after which a part is held that engines have answered before.
const CRASHES_MIN_ONCE_SERVED: usize = 5;
/// Time from the last crash during which a part is held.
const HOLD: Duration = Duration::from_mins(10);
/// Time after a hold in which one further crash renews it.
const PROBATION: Duration = Duration::from_mins(10);
/// Crashes within this time count as one: a rack or a zone has failed.
const OUTAGE_WINDOW: Duration = Duration::from_millis(200);
/// Reports of a crash of the same endpoint within this time concern the same crash. An engine takes
/// longer to start.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Parts whose crashes are remembered.
const SUSPECTS_MAX: usize = 4_096;
/// Crashes that are remembered of each part.
const INCIDENTS_MAX: usize = 16;
/// Interval at which held parts are reported again, for gateways that have started since.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A part that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The part.
    pub part: PromptPart,
    /// Time until it is tried again.
    pub remaining: Duration,
}

/// What is known of the parts of prompts that ran at engines when they ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Crashes of each part since it was last answered, in the order of time.
    suspects: BTreeMap<PromptPart, Vec<Incident>>,
    served: Served,
    /// The held parts, each with the end of its hold.
    held: BTreeMap<PromptPart, Instant>,
    /// Whether `held` must be chosen again.
    changed: bool,
    unreported: Unreported,
    reported_at: Option<Instant>,
}

/// What goes into the next report.
#[derive(Debug, Default)]
struct Unreported {
    crashes: Vec<(PromptPart, Incident)>,
    served: BTreeSet<PromptPart>,
    served_before: BTreeSet<PromptPart>,
}

#[derive(Clone, Debug)]
struct Incident {
    endpoint: Endpoint,
    at: Instant,
}

impl Incident {
    /// Whether both are reports of one crash.
    fn is_same_crash(&self, other: &Self) -> bool {
        let distance = self.at.max(other.at) - self.at.min(other.at);
        self.endpoint == other.endpoint && distance < CRASH_WINDOW
    }
}

impl Quarantine {
    /// Creates a quarantine that knows of no crash.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the first of the parts that is held, if any.
    #[must_use]
    pub fn check(&mut self, parts: &[PromptPart], now: Instant) -> Option<Hold> {
        self.update_held(now);
        parts.iter().find_map(|part| {
            let remaining = self.held.get(part)?.checked_duration_since(now)?;
            Some(Hold {
                part: *part,
                remaining,
            })
        })
    }

    /// Records that an engine has answered a request with these parts, which clears them.
    pub fn record_served(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if self.clear(*part) {
                self.unreported.served.insert(*part);
            }
        }
    }

    /// Records that an endpoint ended while it ran a request with these parts.
    pub fn record_crash(&mut self, endpoint: &Endpoint, parts: &[PromptPart], now: Instant) {
        for part in parts {
            let incident = Incident {
                endpoint: endpoint.clone(),
                at: now,
            };
            if self.add(*part, incident.clone()) {
                self.unreported.crashes.push((*part, incident));
            }
        }
    }

    /// Returns what to report to peers: what is new since the last call, and from time to time the
    /// crashes of all held parts.
    pub fn take_report(&mut self, now: Instant) -> PartReport {
        let Unreported {
            mut crashes,
            served,
            served_before,
        } = std::mem::take(&mut self.unreported);
        let due = self
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if due {
            self.reported_at = Some(now);
            self.expire(now);
            self.update_held(now);
            let held = self.held.keys().filter_map(|part| {
                let incidents = self.suspects.get(part)?;
                Some(incidents.iter().map(|incident| (*part, incident.clone())))
            });
            crashes.extend(held.flatten());
        }
        let crashes = crashes.into_iter().map(|(part, incident)| Crash {
            part,
            endpoint: incident.endpoint,
            age: now.saturating_duration_since(incident.at),
        });
        PartReport {
            crashes: crashes.collect(),
            served: served.into_iter().collect(),
            served_before: served_before.into_iter().collect(),
        }
    }

    /// Applies the report of a peer. With `relay`, what is new in it goes into the next report of
    /// this process, for gateways that the peer is not linked with.
    pub fn apply_report(&mut self, report: PartReport, relay: bool, now: Instant) {
        for part in report.served {
            if self.clear(part) && relay {
                self.unreported.served.insert(part);
            }
        }
        for part in report.served_before {
            self.unreported.served_before.remove(&part);
            if !self.served.contains(part) {
                self.served.insert(part);
                self.changed = true;
                if relay {
                    self.unreported.served_before.insert(part);
                }
            }
        }
        for crash in report.crashes {
            let incident = Incident {
                endpoint: crash.endpoint,
                at: now.checked_sub(crash.age).unwrap_or(now),
            };
            if self.add(crash.part, incident.clone()) && relay {
                self.unreported.crashes.push((crash.part, incident));
            }
        }
    }

    /// Adds a crash of a part, unless it is known. Returns whether it is new.
    fn add(&mut self, part: PromptPart, incident: Incident) -> bool {
        let incidents = self.suspects.entry(part).or_default();
        if incidents.iter().any(|known| known.is_same_crash(&incident)) {
            return false;
        }
        if incidents.is_empty() && self.served.contains(part) {
            self.unreported.served_before.insert(part);
        }
        let place = incidents.partition_point(|known| known.at <= incident.at);
        incidents.insert(place, incident);
        if incidents.len() > INCIDENTS_MAX {
            incidents.remove(0);
        }
        if self.suspects.len() > SUSPECTS_MAX {
            self.drop_oldest();
        }
        self.changed = true;
        true
    }

    /// Clears a part that was answered. Returns whether there were crashes to clear.
    fn clear(&mut self, part: PromptPart) -> bool {
        self.served.insert(part);
        let had_crashes = self.suspects.remove(&part).is_some();
        self.changed |= had_crashes;
        had_crashes
    }

    /// Chooses the parts to hold: first the one with the most crashes, then each that has enough
    /// crashes which the held ones do not explain. A part that others share with the cause, or that
    /// was at the same engines by chance, is not held.
    fn update_held(&mut self, now: Instant) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut held: BTreeMap<PromptPart, Instant> = BTreeMap::new();
        while let Some(part) = self.next_to_hold(&held) {
            let last = self.suspects[&part].last();
            held.insert(part, last.map_or(now, |incident| incident.at) + HOLD);
        }
        held.retain(|_, until| now < *until);
        for part in held.keys().filter(|part| !self.held.contains_key(part)) {
            log::warn!(part:% = part, crashes = self.suspects[part].len();
                "refusing requests with a part of a prompt that was running when engines ended");
        }
        for part in self.held.keys().filter(|part| !held.contains_key(part)) {
            log::info!(part:% = part; "accepting requests with a part of a prompt again");
        }
        metrics::gauge!("quarantined_parts").set(as_f64(held.len() as u64));
        self.held = held;
    }

    fn next_to_hold(&self, held: &BTreeMap<PromptPart, Instant>) -> Option<PromptPart> {
        let candidates = self.suspects.iter().filter_map(|(part, incidents)| {
            let once_served = self.served.contains(*part);
            let needed = if once_served {
                CRASHES_MIN_ONCE_SERVED
            } else {
                CRASHES_MIN
            };
            if incidents.len() < needed || held.contains_key(part) {
                return None;
            }
            let is_explained = |incident: &&Incident| {
                let explaining = held.keys().flat_map(|part| &self.suspects[part]);
                explaining.into_iter().any(|it| it.is_same_crash(incident))
            };
            let unexplained = count_outages(incidents.iter().filter(|it| !is_explained(it)));
            (unexplained >= needed).then_some((!once_served, unexplained, *part))
        });
        candidates.max().map(|(_, _, part)| part)
    }

    /// Drops crashes whose hold and probation have ended.
    fn expire(&mut self, now: Instant) {
        let before = self.suspects.len();
        self.suspects.retain(|_, incidents| {
            let last = incidents.last();
            last.is_some_and(|last| now.saturating_duration_since(last.at) < HOLD + PROBATION)
        });
        self.changed |= self.suspects.len() != before;
        self.changed |= self.held.values().any(|until| *until <= now);
    }

    /// Drops the part whose last crash is the oldest.
    fn drop_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, incidents)| incidents.last().map(|incident| incident.at));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}

/// Counts crashes in the order of time, those within [`OUTAGE_WINDOW`] of the first one as one.
fn count_outages<'a>(incidents: impl Iterator<Item = &'a Incident>) -> usize {
    let mut first: Option<Instant> = None;
    incidents
        .filter(|incident| {
            let is_next = first.is_none_or(|first| incident.at - first >= OUTAGE_WINDOW);
            if is_next {
                first = Some(incident.at);
            }
            is_next
        })
        .count()
}
