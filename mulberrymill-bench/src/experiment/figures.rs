use std::{collections::BTreeMap, time::Duration};

use mulberrymill::{id::Endpoint, routing::Cost};
use serde::Serialize;

use super::{
    deployment::{as_f64, missed_targets},
    scenario::Plan,
};
use crate::load::{Arrival, Kind, Quantiles};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Complete,
    Refused,
    Failed,
}

/// State of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    /// Index of the entry that received the request.
    pub entry: usize,
    /// Whether the scheduler has admitted the request.
    pub admitted: bool,
    /// Endpoints that failed or refused the request.
    pub excluded: Vec<Endpoint>,
    /// Endpoint and cost of the attempt in progress.
    pub attempt: Option<(Endpoint, Cost)>,
    pub received_bytes: u64,
    /// Time from the start of the run to the first token.
    pub first_token_at: Option<Duration>,
    /// Time from the start of the run to the outcome.
    pub ended_at: Duration,
    /// `None` while the request is in progress.
    pub outcome: Option<RequestOutcome>,
}

impl RequestState {
    pub const fn new(entry: usize) -> Self {
        Self {
            entry,
            admitted: false,
            excluded: Vec::new(),
            attempt: None,
            received_bytes: 0,
            first_token_at: None,
            ended_at: Duration::ZERO,
            outcome: None,
        }
    }
}

/// Results of a class.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ClassFigures {
    /// Number of requests.
    pub sent: u64,
    /// Complete answers that met all targets.
    pub good: u64,
    /// Complete answers that missed a target.
    pub late: u64,
    /// Late answers by missed target: first token, time between tokens, whole answer.
    pub missed: [u64; 3],
    /// Requests refused with the statement that they were not executed.
    pub refused: u64,
    /// Answers that broke off.
    pub failed: u64,
    /// Mean time in milliseconds by which late answers exceed the target of the first token or of
    /// the whole answer, whichever is more.
    pub lateness_ms: f64,
    /// Good answers per second of the plan.
    pub goodput: f64,
    /// Good answers as a fraction of the requests.
    pub in_target: f64,
    /// Good answers in [`Plan::flood_window`] as a fraction of those guaranteed to the class; above
    /// 1 if the class gets more.
    pub kept: f64,
    /// Time to the first token of complete answers.
    pub first_ms: Quantiles,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Results by class. Calls of the plain service, which use no engine slots, are counted under
    /// the name of the service.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Good answers per second of the plan.
    pub goodput: f64,
    /// Total worth of the good answers.
    pub worth: u64,
    /// Fraction of the prompt tokens that were cached.
    pub prefix_hits: f64,
    /// Number of role changes.
    pub role_changes: u64,
}

/// Result of a request, from which the results of its class are computed.
struct RequestResult {
    missed_targets: [bool; 3],
    lateness: Duration,
    first: Duration,
    in_flood_window: bool,
    outcome: Option<RequestOutcome>,
}

impl Figures {
    pub(super) fn new(
        plan: &Plan,
        requests: &[RequestState],
        prefix_hits: f64,
        role_changes: u64,
    ) -> Self {
        let mut groups: BTreeMap<_, Vec<RequestResult>> = BTreeMap::new();
        for ((arrival, _), request) in plan.arrivals.iter().zip(requests) {
            let is_call = arrival.kind == Kind::Print;
            let group = groups.entry((arrival.class.clone(), is_call)).or_default();
            group.push(measure(plan, arrival, request));
        }
        let mut figures = Self {
            prefix_hits,
            role_changes,
            ..Self::default()
        };
        let mut good = 0;
        for ((name, is_call), group) in groups {
            let guaranteed = if is_call { 1.0 } else { plan.guaranteed(&name) };
            let mut class = ClassFigures::new(&group, guaranteed);
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

fn measure(plan: &Plan, arrival: &Arrival, request: &RequestState) -> RequestResult {
    let spec = &plan.document.classes[&arrival.class];
    let whole = request.ended_at.saturating_sub(arrival.at);
    let is_call = arrival.kind == Kind::Print;
    let first = request
        .first_token_at
        .map_or(whole, |first| first.saturating_sub(arrival.at));
    let first_lateness = first.saturating_sub(spec.first_token);
    let whole_lateness = whole.saturating_sub(spec.whole);
    let missed = if is_call {
        [false, false, whole > spec.whole]
    } else {
        missed_targets(spec, first, whole, arrival.output.get())
    };
    RequestResult {
        missed_targets: missed,
        lateness: if is_call {
            whole_lateness
        } else {
            first_lateness.max(whole_lateness)
        },
        first,
        in_flood_window: arrival.at >= plan.flood_window.0 && arrival.at < plan.flood_window.1,
        outcome: request.outcome,
    }
}

impl ClassFigures {
    fn new(group: &[RequestResult], guaranteed: f64) -> Self {
        let mut class = Self::default();
        let (mut sent_in_window, mut good_in_window, mut total_lateness) = (0, 0, Duration::ZERO);
        for result in group {
            class.sent += 1;
            sent_in_window += u64::from(result.in_flood_window);
            match result.outcome {
                Some(RequestOutcome::Complete) if result.missed_targets == [false; 3] => {
                    class.good += 1;
                    good_in_window += u64::from(result.in_flood_window);
                }
                Some(RequestOutcome::Complete) => {
                    class.late += 1;
                    total_lateness += result.lateness;
                    for (count, missed) in class.missed.iter_mut().zip(result.missed_targets) {
                        *count += u64::from(missed);
                    }
                }
                Some(RequestOutcome::Refused) => class.refused += 1,
                Some(RequestOutcome::Failed) | None => class.failed += 1,
            }
        }
        class.lateness_ms = total_lateness.as_secs_f64() * 1e3 / as_f64(class.late.max(1));
        class.in_target = as_f64(class.good) / as_f64(class.sent.max(1));
        class.kept = as_f64(good_in_window) / (as_f64(sent_in_window.max(1)) * guaranteed);
        let complete = group
            .iter()
            .filter(|result| result.outcome == Some(RequestOutcome::Complete));
        class.first_ms = Quantiles::new(complete.map(|result| result.first));
        class
    }
}
