use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{
    Outlook, Request,
    decay::{Decaying, SlidingMin, Tally},
};
use crate::unit::{Tokens, as_f64, round};

/// Prompt lengths that are kept to tell large requests of a kind from others.
const SIZES_KEPT: usize = 64;
/// Prompt lengths from which on sizes are told apart.
const SIZES_MIN: usize = 10;
/// Share of the requests of a kind that are the largest ones, and share with the next smaller ones.
const LARGEST_SHARE: f64 = 0.1;
const LARGE_SHARE: f64 = 0.3;
/// Window in which the smallest queueing delay counts. A process of a large fleet places about eight
/// requests per second, so a shorter one would hold too few of them.
const DELAY_WINDOW: Duration = Duration::from_secs(1);
/// Delays in the window without which no queue is known to be standing.
const DELAYS_MIN: u32 = 4;
/// Queueing delay, as a fraction of the latency target, from which a queue that does not get shorter
/// is a standing queue.
const STANDING_DELAY: f64 = 0.3;
/// Half-life of the rates of offered, late and processed work.
pub(super) const WORK_HALF_LIFE: Duration = Duration::from_secs(3);
/// Ratio of two slacks from which the shorter one precedes. Smaller differences say less than the work.
const SLACK_STEP: f64 = 1.25;

/// Size of a request among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Size {
    /// Of the largest tenth.
    Largest,
    /// Of the fifth below it.
    Large,
    Other,
}

/// The recent requests of one kind: those of a route at one rank.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) tally: Tally,
    pub(super) sizes: [Tally; 3],
    pub(super) seen: Instant,
    /// Tokens to prefill of requests that could only be late.
    pub(super) late_work: Decaying,
    /// Part of a request that is to be rejected next; rejects when it reaches 1.
    pub(super) due: f64,
    target: Duration,
    prompts: VecDeque<Tokens>,
    /// Mean of the tokens to prefill, of all tokens, and of the seconds of the prefill.
    tokens: Mean,
    work: Mean,
    prefill: Mean,
    delay: SlidingMin,
}

impl Kind {
    pub(super) fn new(target: Duration, now: Instant) -> Self {
        let tally = Tally::new(now);
        Self {
            tally,
            sizes: [tally; 3],
            seen: now,
            late_work: Decaying::new(WORK_HALF_LIFE, now),
            due: 0.0,
            target,
            prompts: VecDeque::new(),
            tokens: Mean::default(),
            work: Mean::default(),
            prefill: Mean::default(),
            delay: SlidingMin::new(DELAY_WINDOW, now),
        }
    }

    pub(super) fn record(&mut self, request: &Request<'_>, now: Instant) {
        self.seen = now;
        self.target = request.latency_target;
        self.tokens.add(request.prefill());
        self.work.add(request.work());
        if self.prompts.len() == SIZES_KEPT {
            self.prompts.pop_front();
        }
        self.prompts.push_back(request.prompt);
    }

    pub(super) fn record_outlook(&mut self, outlook: &Outlook, now: Instant) {
        let own = outlook.forecast.saturating_sub(outlook.queueing);
        self.prefill.add(own.as_secs_f64());
        let target = self.target.as_secs_f64().max(f64::MIN_POSITIVE);
        let delay = outlook.queueing.as_secs_f64() / target;
        self.delay.record(delay, now);
    }

    pub(super) fn record_ending(&mut self, request: &Request<'_>, served: bool, now: Instant) {
        self.tally.add(served, now);
        self.sizes[self.size(request) as usize].add(served, now);
    }

    /// Size of a request among the recent ones. Requests of equal length have none.
    pub(super) fn size(&self, request: &Request<'_>) -> Size {
        if self.prompts.len() < SIZES_MIN {
            return Size::Other;
        }
        let at_least = self.prompts.iter().filter(|len| **len >= request.prompt);
        let share = as_f64(at_least.count() as u64) / as_f64(self.prompts.len() as u64);
        if share <= LARGEST_SHARE {
            Size::Largest
        } else if share <= LARGE_SHARE {
            Size::Large
        } else {
            Size::Other
        }
    }

    /// Whether the requests of this kind met a long queue during all of the last window.
    pub(super) fn has_standing_queue(&self, now: Instant) -> bool {
        let delay = self.delay.get(DELAYS_MIN, now);
        delay.is_some_and(|delay| delay >= STANDING_DELAY)
    }

    /// Mean tokens to prefill of a request.
    pub(super) const fn mean_prefill(&self) -> f64 {
        self.tokens.mean
    }

    /// Mean work of a request.
    pub(super) const fn mean_work(&self) -> f64 {
        self.work.mean
    }

    /// Sorts the kinds of one rank: the one with the shorter slack (target less own prefill) first, and
    /// at about the same slack the one with less work.
    pub(super) fn order(&self) -> (i32, u64) {
        let slack = (self.target.as_secs_f64() - self.prefill.mean).max(0.001);
        let step = slack.ln() / SLACK_STEP.ln();
        // At most 9 digits, far inside the range.
        #[expect(clippy::cast_possible_truncation, reason = "rounded and small")]
        let step = step.round() as i32;
        (step, round(self.tokens.mean))
    }
}

/// A mean that follows changes within about twenty observations.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean: f64,
    count: f64,
}

impl Mean {
    const COUNT_MAX: f64 = 20.0;

    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(Self::COUNT_MAX);
        self.mean += (value - self.mean) / self.count;
    }
}
