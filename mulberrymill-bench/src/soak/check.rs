use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use super::{
    backend::{self, Arrival, Run, STREAM_EVENTS},
    client::{End, Sent},
};

/// Status codes by which a gateway asserts that a request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Time after the deadline in which the start of a run still counts as in time.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// Time after an answer that says that an endpoint leaves in which clients may still send requests
/// that reach it.
const LEAVING_TOLERANCE: Duration = Duration::from_secs(2);
/// Time in which an answer reaches the gateway.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time after a refusal in which requests on their way may still reach the endpoint.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint in the rest of the pause that it asked for.
const PAUSED_ARRIVALS_MAX: usize = 2;

/// Shortest timeout of a route.
pub(super) const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before a deadline from which on an answer may end because of it.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);
/// Time after which a request on an open connection counts as read.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after the end of a fault in which connections may still break because of it.
const CUT_TOLERANCE: Duration = Duration::from_millis(100);

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

/// Time in which an endpoint was draining, or cut off from the gateways.
#[derive(Clone, Debug)]
pub(super) struct EndpointWindow {
    pub(super) endpoint: String,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Time in which a gateway was paused, or did not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatewayWindow {
    pub(super) gateway: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Compares the responses that clients received with the runs of endpoints.
///
/// `drains` are the times in which endpoints must receive no requests. A gateway cannot know how long a
/// request waited in its socket while it was paused, so requests that it forwards afterwards may be late.
pub(super) fn check(
    sent: &[Sent],
    runs: &[Run],
    drains: &[EndpointWindow],
    pauses: &[GatewayWindow],
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
            if !run.endpoint.starts_with(sent.route.service) {
                breach("route", detail.clone());
            }
            let excused = pauses.iter().any(|pause| {
                pause.gateway == sent.gateway && pause.from < run.at && sent.at < pause.until
            });
            if run.at > sent.at + sent.deadline + LATE_TOLERANCE && !excused {
                breach("late", detail.clone());
            }
            let while_draining = |drain: &EndpointWindow| {
                drain.endpoint == run.endpoint && (drain.from..drain.until).contains(&run.at)
            };
            if drains.iter().any(while_draining) {
                breach("drain", detail.clone());
            }
        }
        if !sent.route.is_repeatable() && runs.len() > 1 {
            breach("twice", detail.clone());
        }
        if runs.len() > sent.route.attempts {
            breach("budget", detail.clone());
        }
        let Some(answer) = &sent.answer else {
            continue;
        };
        let is_refused = NOT_EXECUTED_STATUSES.contains(&answer.status);
        if is_refused && !sent.route.is_repeatable() && !runs.is_empty() {
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
            let rule = if sent.route.is_stream() {
                "order"
            } else {
                "mixed"
            };
            breach(rule, detail.clone());
        }
        if (400..500).contains(&answer.status) && !is_refused {
            breach("denied", detail);
        }
    }
    for (request, runs) in by_request {
        breach("unasked", format!("no client sent {request}: {runs:?}"));
    }
    breaches
}

/// Finds requests that ended with neither a whole answer nor a refusal, although their last endpoint
/// was sound.
///
/// A request is excused from its deadline or the timeout of its route on, if its client left, if
/// `cuts` harmed its last endpoint since the endpoint had it, or if `interruptions` harmed its gateway.
/// `describe` names the moments of a request.
pub(super) fn check_losses(
    sent: &[Sent],
    runs: &[Run],
    cuts: &[EndpointWindow],
    interruptions: &[GatewayWindow],
    describe: impl Fn(&Sent, &[&Run]) -> String,
) -> Vec<Breach> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let mut breaches = Vec::new();
    for sent in sent {
        let runs = by_request.remove(sent.request.as_str()).unwrap_or_default();
        let last = runs.iter().max_by_key(|run| run.at);
        let status = sent.answer.as_ref().map_or(0, |answer| answer.status);
        let is_own_failure = sent.answer.as_ref().is_some_and(|answer| {
            answer.status >= 500 && answer.status != 503 && answer.stamp.is_none()
        });
        let is_late = sent.ended + DEADLINE_TOLERANCE > sent.at + sent.deadline.min(ROUTE_TIMEOUT);
        let is_interrupted = interruptions.iter().any(|window| {
            let is_during = window.from < sent.ended && sent.at < window.until + CUT_TOLERANCE;
            window.gateway == sent.gateway && is_during
        });
        let is_broken_off = last.is_some_and(|run| {
            cuts.iter().any(|cut| {
                let is_during = cut.from < sent.ended && run.at < cut.until + CUT_TOLERANCE;
                cut.endpoint == run.endpoint && is_during
            })
        });
        if is_late || is_interrupted || is_broken_off {
            continue;
        }
        // A request that crosses the close of its connection is not read.
        let is_read = last.is_some() || status > 0 || sent.ended > sent.at + LOSS_SLACK;
        let rule = match sent.end {
            End::Broken(_) if is_read => "lost",
            End::Complete if is_own_failure && last.is_some() => "failed",
            _ => continue,
        };
        breaches.push(Breach {
            rule,
            detail: describe(sent, &runs),
        });
    }
    breaches
}

/// Compares what endpoints said of themselves with what reached them afterwards.
///
/// A run that has told a gateway that it leaves gets no request from it which its client sent later than
/// [`LEAVING_TOLERANCE`]; a run that has asked a gateway for a pause gets at most
/// [`PAUSED_ARRIVALS_MAX`] from it, from [`PAUSE_TOLERANCE`] after that until the end of the pause.
///
/// A gateway that did not run in between is excused, and so is one whose link to the endpoint was harmed
/// when the endpoint answered, or that had closed the connection before.
pub(super) fn check_notices(
    sent: &[Sent],
    arrivals: &[Arrival],
    outages: &[GatewayWindow],
    cuts: &[EndpointWindow],
) -> Vec<Breach> {
    let by_request: BTreeMap<&str, &Sent> = sent
        .iter()
        .map(|sent| (sent.request.as_str(), sent))
        .collect();
    let from_gateways: Vec<(&Arrival, &Sent)> = arrivals
        .iter()
        .filter_map(|arrival| Some((arrival, *by_request.get(arrival.request.as_str())?)))
        .collect();
    let mut breaches = Vec::new();
    for (said, to) in &from_gateways {
        let Some(answered) = said.answered else {
            continue;
        };
        let is_unheard = cuts.iter().any(|cut| {
            cut.endpoint == said.endpoint
                && cut.from < answered + ANSWER_TIME
                && answered < cut.until
        });
        if is_unheard || ended_elsewhere(to, &said.endpoint, answered) {
            continue;
        }
        let later = from_gateways.iter().filter(|(arrival, from)| {
            let is_excused = outages.iter().any(|outage| {
                outage.gateway == to.gateway && outage.from < arrival.at && answered < outage.until
            });
            let is_same_run = arrival.endpoint == said.endpoint && arrival.started == said.started;
            from.gateway == to.gateway && is_same_run && !is_excused
        });
        if said.notice.leaving {
            let late = later
                .clone()
                .find(|(_, from)| from.at > answered + LEAVING_TOLERANCE);
            breaches.extend(late.map(|late| Breach {
                rule: "leaving",
                detail: format!("{late:?} after {said:?}"),
            }));
        }
        if let Some(pause) = said.notice.pause {
            let closed = answered + PAUSE_TOLERANCE..answered + pause;
            let early: Vec<_> = later
                .filter(|(arrival, _)| closed.contains(&arrival.at))
                .collect();
            if early.len() > PAUSED_ARRIVALS_MAX {
                breaches.push(Breach {
                    rule: "paused",
                    detail: format!("{early:?} after {said:?}"),
                });
            }
        }
    }
    breaches
}

/// Whether a client had the whole answer of another endpoint before `endpoint` began its own at `answered`. A
/// gateway that has passed on an answer to its end has closed its connections to the other endpoints.
fn ended_elsewhere(sent: &Sent, endpoint: &str, answered: Instant) -> bool {
    let stamp = sent
        .answer
        .as_ref()
        .and_then(|answer| answer.stamp.as_deref());
    let is_other = stamp.is_some_and(|stamp| stamp != endpoint);
    is_other && sent.end == End::Complete && sent.ended < answered
}

fn expected(sent: &Sent) -> String {
    if sent.route.is_stream() {
        let events = (1..=STREAM_EVENTS).map(|number| backend::event(number, &sent.request));
        events.collect()
    } else {
        sent.request.clone()
    }
}
