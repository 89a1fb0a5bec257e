use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use super::Call;
use crate::{
    clock::Shared,
    dispatch::Choice,
    error::{Error, Kind},
    id::{self, Endpoint, PromptPart},
    unit::Tokens,
};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The caller received the whole answer of an endpoint.
    Complete,
    /// The caller received an error of this process.
    Failed(Kind),
    /// The answer ended before it was whole, after its head had been sent.
    CutOff(Kind),
    /// The connection to the caller ended first.
    CallerLeft,
}

impl End {
    /// Labels of the end and of its reason in metrics.
    const fn labels(self) -> (&'static str, &'static str) {
        match self {
            Self::Complete => ("complete", ""),
            Self::Failed(kind) => ("failed", kind.answer().slug),
            Self::CutOff(kind) => ("cut-off", kind.answer().slug),
            Self::CallerLeft => ("caller-left", ""),
        }
    }
}

/// Collects the outcome of a request. Logs it and records the latency metrics when dropped, so that
/// canceled requests are covered too.
#[derive(Debug)]
pub(super) struct RequestLog {
    call: Option<id::Call>,
    route: id::Route,
    clock: Shared,
    arrived: Instant,
    /// When the first prefill step at an engine of its own was complete.
    prefilled_at: Option<Instant>,
    answered_at: Option<Instant>,
    prompt: Option<Tokens>,
    shared_parts: Arc<[PromptPart]>,
    /// Expected time until the first engine answers, and the prompt tokens that it has to prefill
    /// until then.
    forecast: Option<(Duration, Tokens)>,
    endpoint: Option<Endpoint>,
    /// Age of the list of endpoints when the last one was chosen.
    listing_age: Option<Duration>,
    sends: u32,
    status: u16,
    end: End,
    outcome: String,
}

impl RequestLog {
    pub(super) fn new(call: &Call, route: id::Route, clock: Shared) -> Self {
        Self {
            call: call.id.clone(),
            route,
            clock,
            arrived: call.arrived,
            prefilled_at: None,
            answered_at: None,
            prompt: call.generation.map(|generation| generation.prompt),
            shared_parts: Arc::clone(&call.shared_parts),
            forecast: None,
            endpoint: None,
            listing_age: None,
            sends: 0,
            status: 0,
            end: End::CallerLeft,
            outcome: "caller left".to_owned(),
        }
    }

    /// Notes the forecast of the first selection.
    pub(super) fn placed(&mut self, choice: &Choice) {
        self.forecast
            .get_or_insert((choice.forecast, choice.tokens_ahead));
    }

    /// Notes the end of a prefill step.
    pub(super) fn prefilled(&mut self) {
        self.prefilled_at.get_or_insert(self.clock.now());
    }

    /// Counts an attempt at the chosen endpoint. `what` names the executed step.
    pub(super) fn sent(&mut self, choice: &Choice, what: &str) {
        self.sends += 1;
        self.endpoint = Some(choice.instance.id.clone());
        self.listing_age = choice.listing_age;
        log::debug!(call:% = OrDash(self.call.as_ref()), endpoint:% = choice.instance.id,
            what = what, own = choice.own_requests, others = choice.peer_requests,
            report_age:? = choice.report_age; "sending request to endpoint");
    }

    /// Logs a failed attempt that is retried.
    pub(super) fn retried(&self, why: &str) {
        log::info!(call:% = OrDash(self.call.as_ref()), route:% = self.route,
            endpoint:% = OrDash(self.endpoint.as_ref()), sends = self.sends, why = why;
            "attempt failed; retrying at another endpoint");
    }

    /// Logs that a silent endpoint keeps the request although another one was asked.
    pub(super) fn stayed(&mut self, endpoint: &Endpoint, why: &str) {
        log::info!(call:% = OrDash(self.call.as_ref()), route:% = self.route,
            endpoint:% = endpoint, why = why; "request stays at its endpoint");
        self.endpoint = Some(endpoint.clone());
    }

    /// Logs that the request waits until an endpoint takes requests again.
    pub(super) fn waits(&self, opens_in: Duration) {
        log::info!(call:% = OrDash(self.call.as_ref()), route:% = self.route,
            wait_ms = opens_in.as_millis();
            "all endpoints have asked for a pause; waiting for the first to end");
    }

    /// Notes the status of the response, and when its head was first available.
    pub(super) fn answered(&mut self, status: u16) {
        self.status = status;
        self.answered_at.get_or_insert(self.clock.now());
    }

    /// Notes that the caller receives the whole answer. Without an outcome the request counts as
    /// canceled by the caller.
    pub(super) fn completed(&mut self) {
        self.end = End::Complete;
        "complete".clone_into(&mut self.outcome);
    }

    /// Notes that the caller receives an error instead of an answer.
    pub(super) fn failed(&mut self, error: &Error) {
        self.answered(error.kind().answer().status);
        self.end = End::Failed(error.kind());
        self.outcome = error.to_string();
    }

    /// Notes that the answer ends before it is whole.
    pub(super) fn cut_off(&mut self, error: &Error) {
        self.end = End::CutOff(error.kind());
        self.outcome = error.to_string();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let total = self.clock.now() - self.arrived;
        let route = self.route.to_string();
        let first = self
            .answered_at
            .map(|answered_at| answered_at - self.arrived);
        if let Some(first) = first {
            metrics::histogram!("first_byte_seconds", "route" => route.clone())
                .record(first.as_secs_f64());
        }
        let (end, reason) = self.end.labels();
        metrics::counter!("requests_finished_total",
            "route" => route.clone(), "end" => end, "reason" => reason)
        .increment(1);
        metrics::histogram!("request_seconds", "route" => route).record(total.as_secs_f64());
        log::info!(call:% = OrDash(self.call.as_ref()), route:% = self.route,
            endpoint:% = OrDash(self.endpoint.as_ref()), sends = self.sends,
            listing_age_ms:? = self.listing_age.map(|age| age.as_millis()),
            status = self.status, prompt:? = self.prompt.map(Tokens::get),
            shared_parts:% = Joined(&self.shared_parts),
            forecast_ms:? = self.forecast.map(|(time, _)| time.as_millis()),
            tokens_ahead:? = self.forecast.map(|(_, tokens)| tokens.get()),
            prefill_ms:? = self.prefilled_at.map(|at| (at - self.arrived).as_millis()),
            first_ms:? = first.map(|first| first.as_millis()),
            total_ms = total.as_millis(), end = end, outcome = self.outcome; "request finished");
    }
}

/// Logs that an endpoint ended while it ran a request.
pub(super) fn log_endpoint_ended(call: &Call, endpoint: &Endpoint) {
    log::warn!(call:% = OrDash(call.id.as_ref()), endpoint:% = endpoint,
        shared_parts:% = Joined(&call.shared_parts);
        "endpoint ended while it ran the request");
}

/// Displays parts with commas between them.
struct Joined<'a>(&'a [PromptPart]);

impl fmt::Display for Joined<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// Displays a missing value as a dash.
struct OrDash<'a, T>(Option<&'a T>);

impl<T: fmt::Display> fmt::Display for OrDash<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}
