use std::{collections::BTreeMap, time::Duration};

use mulberrymill::{id::Endpoint, routing::Cost};
use serde::Serialize;

use super::{
    deployment::{as_f64, missed},
    scenario::Plan,
};
use crate::load::{Arrival, Kind, Quantiles};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Whole,
    Refused,
    Failed,
}

/// One request of a run.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub entry: usize,
    pub started: bool,
    pub avoid: Vec<Endpoint>,
    pub endpoint: Option<(Endpoint, Cost)>,
    pub bytes: u64,
    pub first: Option<Duration>,
    pub end: Duration,
    pub fate: Option<Fate>,
}

impl Track {
    pub const fn new(entry: usize) -> Self {
        Self {
            entry,
            started: false,
            avoid: Vec::new(),
            endpoint: None,
            bytes: 0,
            first: None,
            end: Duration::ZERO,
            fate: None,
        }
    }
}

/// Figures of one class.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Class {
    /// Requests.
    pub sent: u64,
    /// Whole answers inside all targets.
    pub good: u64,
    /// Whole answers outside a target.
    pub late: u64,
    /// Late answers by target: first token, between tokens, whole.
    pub missed: [u64; 3],
    /// Requests refused with the statement that they were not executed.
    pub refused: u64,
    /// Answers that were cut off.
    pub failed: u64,
    /// Mean time by which late answers exceed the target of the first token or of the whole
    /// answer, in milliseconds.
    pub lateness_ms: f64,
    /// Good answers per second of the plan.
    pub goodput: f64,
    /// Good answers as a part of the requests.
    pub in_target: f64,
    /// Good answers of the time of pressure, as a part of the service that is guaranteed to the
    /// class then. Above 1 if it gets more.
    pub kept: f64,
    /// Time to the first token of whole answers.
    pub first_ms: Quantiles,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// By class; the calls of the plain service, which do not compete with the engines for slots,
    /// are counted under the name of the service.
    pub classes: BTreeMap<String, Class>,
    /// Good answers per second of the plan.
    pub goodput: f64,
    /// Worth of all good answers.
    pub worth: u64,
    /// Prompt tokens found in the caches, as a part of all.
    pub prefix_hits: f64,
    /// Role changes.
    pub role_changes: u64,
}

/// One request for the figures of its class.
struct Seen {
    missed: [bool; 3],
    over: Duration,
    first: Duration,
    pressed: bool,
    fate: Option<Fate>,
}

impl Figures {
    pub(super) fn new(plan: &Plan, tracks: &[Track], prefix_hits: f64, role_changes: u64) -> Self {
        let mut groups: BTreeMap<_, Vec<Seen>> = BTreeMap::new();
        for ((arrival, _), track) in plan.arrivals.iter().zip(tracks) {
            let is_call = arrival.kind == Kind::Print;
            let group = groups.entry((arrival.class.clone(), is_call)).or_default();
            group.push(see(plan, arrival, track));
        }
        let mut figures = Self {
            prefix_hits,
            role_changes,
            ..Self::default()
        };
        let mut good = 0;
        for ((name, is_call), group) in groups {
            let guaranteed = if is_call { 1.0 } else { plan.guaranteed(&name) };
            let mut class = Class::new(&group, guaranteed);
            good += class.good;
            class.goodput = as_f64(class.good) / plan.length.as_secs_f64();
            figures.worth += class.good * u64::from(plan.document.classes[&name].worth.get());
            let name = if is_call {
                plan.deployment.service().to_string()
            } else {
                name.to_string()
            };
            figures.classes.insert(name, class);
        }
        figures.goodput = as_f64(good) / plan.length.as_secs_f64();
        figures
    }
}

fn see(plan: &Plan, arrival: &Arrival, track: &Track) -> Seen {
    let spec = &plan.document.classes[&arrival.class];
    let whole = track.end.saturating_sub(arrival.at);
    let is_call = arrival.kind == Kind::Print;
    let first = track
        .first
        .map_or(whole, |first| first.saturating_sub(arrival.at));
    let over_first = first.saturating_sub(spec.first_token);
    let over_whole = whole.saturating_sub(spec.whole);
    let missed = if is_call {
        [false, false, whole > spec.whole]
    } else {
        missed(spec, first, whole, arrival.output.get())
    };
    Seen {
        missed,
        over: if is_call {
            over_whole
        } else {
            over_first.max(over_whole)
        },
        first,
        pressed: arrival.at >= plan.pressure.0 && arrival.at < plan.pressure.1,
        fate: track.fate,
    }
}

impl Class {
    fn new(group: &[Seen], guaranteed: f64) -> Self {
        let mut class = Self::default();
        let (mut pressed, mut kept, mut over) = (0, 0, Duration::ZERO);
        for one in group {
            class.sent += 1;
            pressed += u64::from(one.pressed);
            match one.fate {
                Some(Fate::Whole) if one.missed == [false; 3] => {
                    class.good += 1;
                    kept += u64::from(one.pressed);
                }
                Some(Fate::Whole) => {
                    class.late += 1;
                    over += one.over;
                    for (count, missed) in class.missed.iter_mut().zip(one.missed) {
                        *count += u64::from(missed);
                    }
                }
                Some(Fate::Refused) => class.refused += 1,
                Some(Fate::Failed) | None => class.failed += 1,
            }
        }
        class.lateness_ms = over.as_secs_f64() * 1e3 / as_f64(class.late.max(1));
        class.in_target = as_f64(class.good) / as_f64(class.sent.max(1));
        class.kept = as_f64(kept) / (as_f64(pressed.max(1)) * guaranteed);
        let whole = group.iter().filter(|one| one.fate == Some(Fate::Whole));
        class.first_ms = Quantiles::new(whole.map(|one| one.first));
        class
    }
}
