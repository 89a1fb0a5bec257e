use std::time::Instant;

use crate::{
    clock::Shared,
    dispatch::Choice,
    id::{self, Endpoint},
};

/// Writes one log line for a request, whichever way it ends.
#[derive(Debug)]
pub(super) struct Record {
    call: Option<id::Call>,
    route: id::Route,
    clock: Shared,
    start: Instant,
    first: Option<Instant>,
    endpoint: Option<Endpoint>,
    sends: u32,
    status: u16,
    outcome: String,
}

impl Record {
    pub(super) fn new(
        call: Option<id::Call>,
        route: id::Route,
        start: Instant,
        clock: Shared,
    ) -> Self {
        Self {
            call,
            route,
            clock,
            start,
            first: None,
            endpoint: None,
            sends: 0,
            status: 0,
            outcome: "caller left".to_owned(),
        }
    }

    /// A request is sent to an endpoint.
    pub(super) fn sent(&mut self, choice: &Choice, what: &str) {
        self.sends += 1;
        self.endpoint = Some(choice.instance.id.clone());
        log::debug!(call:% = Optional(self.call.as_ref()), endpoint:% = choice.instance.id,
            what = what, own = choice.own, others = choice.others,
            report_age:? = choice.report_age; "request is sent");
    }

    /// An attempt has failed and something else is tried.
    pub(super) fn retried(&self, why: &str) {
        log::info!(call:% = Optional(self.call.as_ref()), route:% = self.route,
            endpoint:% = Optional(self.endpoint.as_ref()), sends = self.sends, why = why;
            "request is tried elsewhere");
    }

    /// The answer has begun.
    pub(super) fn answered(&mut self, status: u16) {
        self.status = status;
        self.first.get_or_insert(self.clock.now());
    }

    /// The request has ended.
    pub(super) fn ended(&mut self, outcome: impl Into<String>) {
        self.outcome = outcome.into();
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let total = self.clock.now() - self.start;
        let route = self.route.to_string();
        let first = self.first.map(|first| first - self.start);
        if let Some(first) = first {
            metrics::histogram!("first_byte_seconds", "route" => route.clone())
                .record(first.as_secs_f64());
        }
        metrics::histogram!("request_seconds", "route" => route).record(total.as_secs_f64());
        log::info!(call:% = Optional(self.call.as_ref()), route:% = self.route,
            endpoint:% = Optional(self.endpoint.as_ref()), sends = self.sends,
            status = self.status, first_ms:? = first.map(|first| first.as_millis()),
            total_ms = total.as_millis(), outcome = self.outcome; "request has ended");
    }
}

/// Writes a dash for a value that is missing.
struct Optional<'a, T>(Option<&'a T>);

impl<T: std::fmt::Display> std::fmt::Display for Optional<'_, T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}
