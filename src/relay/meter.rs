use std::time::{Duration, Instant};

use metrics::Histogram;

use super::LatencyTargets;
use crate::id::{Caller, Class};

/// Records the latencies of one request in the histograms of its class and of its caller, and
/// checks them against the targets of the request.
///
/// There is one histogram with the label `class` and one with the label `caller`. A histogram with
/// both labels would have a series per pair, which operators do not need: for 410 callers and
/// 3 classes, 1230 instead of 413 series.
#[derive(Debug)]
pub(super) struct RequestMetrics {
    started: Instant,
    last_part: Option<Instant>,
    /// Whether the first part met its target; stays `true` if the response has no parts.
    first_part_in_time: bool,
    target: LatencyTargets,
    queue: LabeledHistograms,
    first_part: LabeledHistograms,
    between_parts: LabeledHistograms,
    whole_response: LabeledHistograms,
}

#[derive(Debug)]
struct LabeledHistograms {
    class: Histogram,
    caller: Histogram,
}

impl LabeledHistograms {
    fn record(&self, elapsed: Duration) {
        self.class.record(elapsed);
        self.caller.record(elapsed);
    }
}

macro_rules! labeled_histograms {
    ($name:literal, $class:expr, $caller:expr) => {
        LabeledHistograms {
            class: metrics::histogram!(concat!("class_", $name, "_seconds"), "class" => $class),
            caller: metrics::histogram!(concat!("caller_", $name, "_seconds"), "caller" => $caller),
        }
    };
}

impl RequestMetrics {
    pub(super) fn new(
        now: Instant,
        caller: &Caller,
        class: &Class,
        target: LatencyTargets,
    ) -> Self {
        let (class, caller) = (class.to_string(), caller.to_string());
        Self {
            started: now,
            last_part: None,
            first_part_in_time: true,
            target,
            queue: labeled_histograms!("queue", class.clone(), caller.clone()),
            // The metric names say `token`, but the times are those of the parts of the response.
            first_part: labeled_histograms!("first_token", class.clone(), caller.clone()),
            between_parts: labeled_histograms!("between_tokens", class.clone(), caller.clone()),
            whole_response: labeled_histograms!("whole_answer", class, caller),
        }
    }

    /// Records the time in the admission queue.
    pub(super) fn record_admission(&self, now: Instant) {
        self.queue.record(now.duration_since(self.started));
    }

    /// Records the time to the first part of the body, or the time since the previous part.
    pub(super) fn record_part(&mut self, now: Instant) {
        match self.last_part.replace(now) {
            None => {
                let first = now.duration_since(self.started);
                self.first_part_in_time = first <= self.target.first_part;
                self.first_part.record(first);
            }
            Some(last) => self.between_parts.record(now.duration_since(last)),
        }
    }

    /// Records the time to the complete response. Returns whether the response met its targets.
    pub(super) fn record_end(&self, now: Instant) -> bool {
        let whole = now.duration_since(self.started);
        self.whole_response.record(whole);
        self.first_part_in_time && whole <= self.target.whole_response
    }
}
