use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::{Duration, Instant},
};

use super::served::Served;
use crate::{
    id::{Endpoint, PromptPart},
    unit::as_f64,
    wire::{Answer, Crash, PartReport},
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
/// Interval at which held parts are reported again, for gateways that have started since or are not
/// linked with the one that saw the crashes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Held parts that are reported again at a time.
const HELD_REPORTED_MAX: usize = 16;
/// New crashes, and answers, in one report. When many engines end at once, the rest is not reported:
/// the parts that matter come again.
const REPORTED_MAX: usize = 128;

/// Parts that are held back where a request has all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The parts.
    pub parts: Parts,
    /// Time until they are tried again.
    pub remaining: Duration,
}

/// Parts that cannot be distinguished by their crashes: one of them ends engines, and it is not known which.
/// Mostly a single one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Parts(BTreeSet<PromptPart>);

impl Parts {
    fn contains(&self, part: &PromptPart) -> bool {
        self.0.contains(part)
    }

    fn are_all_in(&self, parts: &[PromptPart]) -> bool {
        self.0.iter().all(|part| parts.contains(part))
    }
}

impl fmt::Display for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { " with " };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// What is known of the parts of prompts that ran at engines when they ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Crashes of each part after it was last answered, in the order of time.
    suspects: BTreeMap<PromptPart, Vec<Incident>>,
    served: Served,
    /// The held parts, with the end of each hold.
    held: BTreeMap<Parts, Instant>,
    /// Whether `held` must be chosen again.
    changed: bool,
    unreported: Unreported,
    reported_at: Option<Instant>,
}

/// What goes into the next report.
#[derive(Debug, Default)]
struct Unreported {
    crashes: Vec<(PromptPart, Incident)>,
    /// Parts with crashes that were answered before or after these.
    answered: BTreeSet<PromptPart>,
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

/// A part with enough crashes to be held.
struct Candidate<'a> {
    part: PromptPart,
    /// Whether no engine has answered it before, and the number of outages and of crashes in which it was running.
    /// The higher one is more likely to be the cause.
    rank: (bool, usize, usize),
    /// Crashes that hold it.
    needed: usize,
    /// Crashes that the parts which are held already do not explain.
    unexplained: Vec<&'a Incident>,
}

impl Candidate<'_> {
    /// Whether `other` is as likely to be the cause: it has the same rank, and too few crashes that this one does
    /// not explain.
    fn is_like(&self, other: &Self) -> bool {
        let explained = |it: &Incident| self.unexplained.iter().any(|own| own.is_same_crash(it));
        let rest = other.unexplained.iter().copied();
        let rest = rest.filter(|incident| !explained(incident));
        self.rank == other.rank && count_outages(rest) < self.needed
    }
}

impl Quarantine {
    /// Creates a quarantine that knows of no crash.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a hold on parts that are all among `parts`, if there is one.
    #[must_use]
    pub fn check(&mut self, parts: &[PromptPart], now: Instant) -> Option<Hold> {
        self.update_held(now);
        self.held.iter().find_map(|(held, until)| {
            let remaining = until.checked_duration_since(now)?;
            held.are_all_in(parts).then(|| Hold {
                parts: held.clone(),
                remaining,
            })
        })
    }

    /// Records that an engine has answered a request with these parts, which clears them.
    pub fn record_served(&mut self, parts: &[PromptPart], now: Instant) {
        for part in parts {
            if self.clear(*part, now) {
                self.unreported.answered.insert(*part);
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
            if self.add(*part, incident.clone()) && self.unreported.crashes.len() < REPORTED_MAX {
                self.unreported.crashes.push((*part, incident));
            }
        }
    }

    /// Returns what to report to peers: what this process has seen since the last call, and from time
    /// to time the crashes of the held parts, whoever saw them.
    pub fn take_report(&mut self, now: Instant) -> PartReport {
        let Unreported {
            mut crashes,
            answered,
        } = std::mem::take(&mut self.unreported);
        let due = self
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if due {
            self.reported_at = Some(now);
            self.expire(now);
            self.update_held(now);
            crashes.extend(self.latest_held());
        }
        let age = |at| now.saturating_duration_since(at);
        let answers = answered.into_iter().take(REPORTED_MAX).filter_map(|part| {
            let at = self.served.last(part)?;
            Some(Answer { part, age: age(at) })
        });
        PartReport {
            answers: answers.collect(),
            crashes: crashes
                .into_iter()
                .map(|(part, incident)| Crash {
                    part,
                    endpoint: incident.endpoint,
                    age: age(incident.at),
                })
                .collect(),
        }
    }

    /// The crashes of the parts that were held last, as many of each as hold it.
    fn latest_held(&self) -> impl Iterator<Item = (PromptPart, Incident)> {
        let holds = self.held.iter();
        let mut held: Vec<(Instant, PromptPart)> = holds
            .flat_map(|(parts, until)| parts.0.iter().map(|part| (*until, *part)))
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.into_iter()
            .take(HELD_REPORTED_MAX)
            .flat_map(|(_, part)| {
                let incidents = self.suspects.get(&part).into_iter().flatten();
                let latest = incidents.rev().take(CRASHES_MIN_ONCE_SERVED);
                latest.map(move |incident| (part, incident.clone()))
            })
    }

    /// Applies the report of a peer.
    pub fn apply_report(&mut self, report: PartReport, now: Instant) {
        for answer in report.answers {
            let at = now.checked_sub(answer.age).unwrap_or(now);
            self.clear(answer.part, at);
            self.unreported.answered.remove(&answer.part);
        }
        for crash in report.crashes {
            let at = now.checked_sub(crash.age).unwrap_or(now);
            let endpoint = crash.endpoint;
            self.add(crash.part, Incident { endpoint, at });
        }
    }

    /// Adds a crash of a part, unless it is known or the part was answered after it. Returns whether
    /// it was added.
    fn add(&mut self, part: PromptPart, incident: Incident) -> bool {
        let answered_at = self.served.last(part);
        if answered_at.is_some_and(|at| incident.at < at) {
            // The process that reported the crash may not know of the answer.
            self.unreported.answered.insert(part);
            return false;
        }
        let incidents = self.suspects.entry(part).or_default();
        if incidents.iter().any(|known| known.is_same_crash(&incident)) {
            return false;
        }
        let place = incidents.partition_point(|known| known.at <= incident.at);
        if incidents.len() == INCIDENTS_MAX {
            if place == 0 {
                return false;
            }
            incidents.remove(0);
            incidents.insert(place - 1, incident);
        } else {
            incidents.insert(place, incident);
        }
        self.changed |= incidents.len() >= CRASHES_MIN;
        if incidents.len() == 1 && answered_at.is_some() {
            self.unreported.answered.insert(part);
        }
        if self.suspects.len() > SUSPECTS_MAX {
            self.drop_oldest();
        }
        true
    }

    /// Clears the crashes of a part up to its answer. Returns whether there were any.
    fn clear(&mut self, part: PromptPart, answered_at: Instant) -> bool {
        let is_first = self.served.insert(part, answered_at);
        let Some(incidents) = self.suspects.get_mut(&part) else {
            return false;
        };
        let before = incidents.len();
        // The first answer also raises the number of crashes after which the part is held.
        self.changed |= before >= CRASHES_MIN;
        incidents.retain(|incident| incident.at > answered_at);
        let remaining = incidents.len();
        if remaining == 0 {
            self.suspects.remove(&part);
        }
        is_first || remaining < before
    }

    /// Chooses the parts to hold: first the one with the most crashes, then each that has enough
    /// crashes which the held ones do not explain. A part that others share with the cause, or that
    /// was at the same engines by chance, is not held. Parts that explain as many of the same crashes are
    /// held together: a request with one of them alone goes, and its end distinguishes them.
    fn update_held(&mut self, now: Instant) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut held: BTreeMap<Parts, Instant> = BTreeMap::new();
        while let Some((parts, last)) = self.next_to_hold(&held) {
            held.insert(parts, last + HOLD);
        }
        held.retain(|_, until| now < *until);
        for parts in held.keys().filter(|parts| !self.held.contains_key(parts)) {
            let crashes = parts.0.first().and_then(|part| self.suspects.get(part));
            log::warn!(parts:% = parts, crashes = crashes.map_or(0, Vec::len);
                "refusing requests with parts of a prompt that were running when engines ended");
        }
        for parts in self.held.keys().filter(|parts| !held.contains_key(parts)) {
            log::info!(parts:% = parts; "accepting requests with parts of a prompt again");
        }
        metrics::gauge!("quarantined_parts").set(as_f64(held.len() as u64));
        self.held = held;
    }

    /// The next parts to hold beside those in `held`, and the time of their last crash.
    fn next_to_hold(&self, held: &BTreeMap<Parts, Instant>) -> Option<(Parts, Instant)> {
        let candidates = self.suspects.iter().filter_map(|(part, incidents)| {
            let once_served = self.served.last(*part).is_some();
            let needed = if once_served {
                CRASHES_MIN_ONCE_SERVED
            } else {
                CRASHES_MIN
            };
            if incidents.len() < needed || held.keys().any(|parts| parts.contains(part)) {
                return None;
            }
            let unexplained = incidents.iter();
            let unexplained = unexplained.filter(|it| !held.keys().any(|by| self.explains(by, it)));
            let unexplained: Vec<&Incident> = unexplained.collect();
            let count = count_outages(unexplained.iter().copied());
            (count >= needed).then_some(Candidate {
                part: *part,
                rank: (!once_served, count, unexplained.len()),
                needed,
                unexplained,
            })
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let first = candidates.iter().max_by_key(|candidate| candidate.rank)?;
        let alike = candidates.iter().filter(|other| first.is_like(other));
        let parts = Parts(alike.map(|candidate| candidate.part).collect());
        let last = parts.0.iter().filter_map(|part| self.suspects[part].last());
        let last = last.map(|incident| incident.at).max()?;
        Some((parts, last))
    }

    /// Whether all of the held parts were running in a crash.
    fn explains(&self, held: &Parts, incident: &Incident) -> bool {
        held.0.iter().all(|part| {
            let incidents = &self.suspects[part];
            incidents.iter().any(|it| it.is_same_crash(incident))
        })
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
