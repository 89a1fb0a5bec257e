use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use super::{
    backend::{self, EVENTS, Run},
    client::{DEADLINE, Sent},
};

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Runs of one request that its route allows.
const ATTEMPTS: usize = 2;
/// Time after a deadline in which an answer still counts as in time.
const LATE: Duration = Duration::from_millis(500);

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// An endpoint that was leaving, while nothing hindered the gateways from knowing it.
#[derive(Clone, Debug)]
pub(super) struct Leave {
    pub(super) endpoint: String,
    /// From when on it must get no requests.
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// A gateway that was paused. It cannot know how long a request has waited in its socket meanwhile,
/// so what it passes on after the pause may be late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    pub(super) gateway: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Compares what clients saw with what endpoints ran.
pub(super) fn check(
    sent: &[Sent],
    runs: &[Run],
    leaves: &[Leave],
    pauses: &[Pause],
) -> Vec<Breach> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let mut breaches = Vec::new();
    let mut broken = |rule, detail: String| breaches.push(Breach { rule, detail });
    for sent in sent {
        let runs = by_request.remove(sent.request.as_str()).unwrap_or_default();
        let what = format!("{} {:?}, runs {runs:?}", sent.target, sent.answer);
        for run in &runs {
            let line = format!("POST {}", sent.target);
            if run.line != line || run.body != sent.request {
                broken("unasked", what.clone());
            }
            if (sent.kind == "once") != run.endpoint.starts_with("once") {
                broken("route", what.clone());
            }
            let excused = pauses.iter().any(|pause| {
                pause.gateway == sent.gateway && pause.from < run.at && sent.at < pause.until
            });
            if run.at > sent.at + DEADLINE + LATE && !excused {
                broken("late", what.clone());
            }
            let left = |leave: &Leave| {
                leave.endpoint == run.endpoint && (leave.from..leave.until).contains(&run.at)
            };
            if leaves.iter().any(left) {
                broken("drain", what.clone());
            }
        }
        if sent.kind == "once" && runs.len() > 1 {
            broken("twice", what.clone());
        }
        if runs.len() > ATTEMPTS {
            broken("budget", what.clone());
        }
        let Some(answer) = &sent.answer else {
            continue;
        };
        if PROMISES.contains(&answer.status) && sent.kind == "once" && !runs.is_empty() {
            broken("refused", what.clone());
        }
        let echoed = answer.request.as_ref().is_none_or(|id| *id == sent.request);
        if !echoed || (answer.status == 200 && answer.stamp.is_none()) {
            broken("mixed", what.clone());
        }
        let whole = match (answer.status, &answer.body) {
            (200, Some(body)) => *body == expected(sent),
            _ => true,
        };
        if !whole {
            let rule = if sent.kind == "stream" {
                "order"
            } else {
                "mixed"
            };
            broken(rule, what.clone());
        }
        if (400..500).contains(&answer.status) && !PROMISES.contains(&answer.status) {
            broken("denied", what);
        }
    }
    for (request, runs) in by_request {
        broken("unasked", format!("nobody sent {request}: {runs:?}"));
    }
    breaches
}

fn expected(sent: &Sent) -> String {
    match sent.kind {
        "stream" => {
            let events = (1..=EVENTS).map(|number| backend::event(number, &sent.request));
            events.collect()
        }
        _ => sent.request.clone(),
    }
}
