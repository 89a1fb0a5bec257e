use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use super::{
    backend::{self, Run, STREAM_EVENTS},
    client::{DEADLINE, Sent},
};

/// Status codes by which a gateway asserts that a request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Most runs of one request that its route allows.
const RUNS_MAX: usize = 2;
/// Time after the deadline in which the start of a run still counts as in time.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Short name of the rule.
    pub rule: &'static str,
    /// The request, its response and its runs.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// Time in which an endpoint was draining and no fault kept the gateways from learning it.
#[derive(Clone, Debug)]
pub(super) struct DrainWindow {
    pub(super) endpoint: String,
    /// Start of the time in which the endpoint must receive no requests.
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Time in which a gateway was paused. It cannot know how long a request waited in its socket in
/// that time, so requests that it forwards afterwards may be late.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseWindow {
    pub(super) gateway: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Compares the responses that clients received with the runs of endpoints.
pub(super) fn check(
    sent: &[Sent],
    runs: &[Run],
    drains: &[DrainWindow],
    pauses: &[PauseWindow],
) -> Vec<Breach> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let mut breaches = Vec::new();
    let mut breach = |rule, detail: String| breaches.push(Breach { rule, detail });
    for sent in sent {
        let runs = by_request.remove(sent.request.as_str()).unwrap_or_default();
        let detail = format!("{} {:?}, runs {runs:?}", sent.target, sent.answer);
        for run in &runs {
            let line = format!("POST {}", sent.target);
            if run.line != line || run.body != sent.request {
                breach("unasked", detail.clone());
            }
            if (sent.kind == "once") != run.endpoint.starts_with("once") {
                breach("route", detail.clone());
            }
            let excused = pauses.iter().any(|pause| {
                pause.gateway == sent.gateway && pause.from < run.at && sent.at < pause.until
            });
            if run.at > sent.at + DEADLINE + LATE_TOLERANCE && !excused {
                breach("late", detail.clone());
            }
            let while_draining = |drain: &DrainWindow| {
                drain.endpoint == run.endpoint && (drain.from..drain.until).contains(&run.at)
            };
            if drains.iter().any(while_draining) {
                breach("drain", detail.clone());
            }
        }
        if sent.kind == "once" && runs.len() > 1 {
            breach("twice", detail.clone());
        }
        if runs.len() > RUNS_MAX {
            breach("budget", detail.clone());
        }
        let Some(answer) = &sent.answer else {
            continue;
        };
        if NOT_EXECUTED_STATUSES.contains(&answer.status) && sent.kind == "once" && !runs.is_empty()
        {
            breach("refused", detail.clone());
        }
        let echoed = answer.request.as_ref().is_none_or(|id| *id == sent.request);
        if !echoed || (answer.status == 200 && answer.stamp.is_none()) {
            breach("mixed", detail.clone());
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
            breach(rule, detail.clone());
        }
        if (400..500).contains(&answer.status) && !NOT_EXECUTED_STATUSES.contains(&answer.status) {
            breach("denied", detail);
        }
    }
    for (request, runs) in by_request {
        breach("unasked", format!("no client sent {request}: {runs:?}"));
    }
    breaches
}

fn expected(sent: &Sent) -> String {
    match sent.kind {
        "stream" => {
            let events = (1..=STREAM_EVENTS).map(|number| backend::event(number, &sent.request));
            events.collect()
        }
        _ => sent.request.clone(),
    }
}
