use std::time::{Duration, Instant};

use metrics::Histogram;

use super::Target;
use crate::id::{Caller, Class};

/// Times of one request, recorded per class and per caller.
///
/// Caller and class label separate histograms: labelled together, 410 callers and 3 classes would
/// make three times as many series without telling an operator more.
#[derive(Debug)]
pub(super) struct Meter {
    begun: Instant,
    last: Option<Instant>,
    in_time: bool,
    target: Target,
    queue: Pair,
    first: Pair,
    between: Pair,
    whole: Pair,
}

#[derive(Debug)]
struct Pair {
    class: Histogram,
    caller: Histogram,
}

impl Pair {
    fn record(&self, period: Duration) {
        self.class.record(period);
        self.caller.record(period);
    }
}

macro_rules! pair {
    ($name:literal, $class:expr, $caller:expr) => {
        Pair {
            class: metrics::histogram!(concat!("class_", $name, "_seconds"), "class" => $class),
            caller: metrics::histogram!(concat!("caller_", $name, "_seconds"), "caller" => $caller),
        }
    };
}

impl Meter {
    pub(super) fn new(now: Instant, caller: &Caller, class: &Class, target: Target) -> Self {
        let (class, caller) = (class.to_string(), caller.to_string());
        Self {
            begun: now,
            last: None,
            in_time: true,
            target,
            queue: pair!("queue", class.clone(), caller.clone()),
            first: pair!("first_token", class.clone(), caller.clone()),
            between: pair!("between_tokens", class.clone(), caller.clone()),
            whole: pair!("whole_answer", class, caller),
        }
    }

    /// The request was admitted.
    pub(super) fn admitted(&self, now: Instant) {
        self.queue.record(now.duration_since(self.begun));
    }

    /// A part of the answer arrived.
    pub(super) fn part(&mut self, now: Instant) {
        match self.last.replace(now) {
            None => {
                let first = now.duration_since(self.begun);
                self.in_time = first <= self.target.first;
                self.first.record(first);
            }
            Some(last) => self.between.record(now.duration_since(last)),
        }
    }

    /// The answer is whole. Returns whether it was in time.
    pub(super) fn ended(&self, now: Instant) -> bool {
        let whole = now.duration_since(self.begun);
        self.whole.record(whole);
        self.in_time && whole <= self.target.whole
    }
}
