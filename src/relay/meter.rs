use std::time::{Duration, Instant};

use metrics::Histogram;

use super::Target;
use crate::id::{Caller, Class};

/// Latency histograms of one request, recorded per class and per caller.
///
/// Class and caller label separate histograms. With both labels on one histogram, 410 callers and
/// 3 classes would make three times as many series, which tell an operator no more.
#[derive(Debug)]
pub(super) struct RequestMetrics {
    started: Instant,
    last_part: Option<Instant>,
    first_in_time: bool,
    target: Target,
    queue: LabeledHistograms,
    first_token: LabeledHistograms,
    between_tokens: LabeledHistograms,
    whole_answer: LabeledHistograms,
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
    pub(super) fn new(now: Instant, caller: &Caller, class: &Class, target: Target) -> Self {
        let (class, caller) = (class.to_string(), caller.to_string());
        Self {
            started: now,
            last_part: None,
            first_in_time: true,
            target,
            queue: labeled_histograms!("queue", class.clone(), caller.clone()),
            first_token: labeled_histograms!("first_token", class.clone(), caller.clone()),
            between_tokens: labeled_histograms!("between_tokens", class.clone(), caller.clone()),
            whole_answer: labeled_histograms!("whole_answer", class, caller),
        }
    }

    /// Records the time in the admission queue.
    pub(super) fn record_admission(&self, now: Instant) {
        self.queue.record(now.duration_since(self.started));
    }

    /// Records the time to the first part, or the time since the previous part.
    pub(super) fn record_part(&mut self, now: Instant) {
        match self.last_part.replace(now) {
            None => {
                let first = now.duration_since(self.started);
                self.first_in_time = first <= self.target.first;
                self.first_token.record(first);
            }
            Some(last) => self.between_tokens.record(now.duration_since(last)),
        }
    }

    /// Records the time to the complete response. Returns whether the response met its targets.
    pub(super) fn record_end(&self, now: Instant) -> bool {
        let whole = now.duration_since(self.started);
        self.whole_answer.record(whole);
        self.first_in_time && whole <= self.target.whole
    }
}
