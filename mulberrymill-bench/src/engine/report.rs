use std::time::Instant;

use mulberrymill::{
    id,
    unit::{Share, Tokens},
    wire::Role,
};
use rand::Rng;
use serde::Serialize;

use super::{
    cache::Change,
    model::Model,
    sequence::{Block, Phase, Sequence},
};

/// Maximum number of load reports, and of cache events, that are kept.
const HISTORY_MAX: usize = 10_000;

/// Load of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Number of requests in the batch.
    pub running: usize,
    /// Number of requests in the queue.
    pub waiting: usize,
    /// Tokens left to prefill, including those of queued and preempted requests.
    pub prefill: Tokens,
    /// Number of requests in the decode phase.
    pub decoding: usize,
    /// Share of the KV blocks that requests use.
    pub cache: Share,
    /// Role; during a role change, the former one.
    pub role: Role,
    /// Loaded models, in loading order.
    pub models: Vec<id::Model>,
    /// Whether new requests are refused because the engine drains.
    pub draining: bool,
}

/// Change of the prefix cache. A gap in the sequence numbers means that events were lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Event {
    /// Sequence number, from 1; lost events are counted too.
    pub sequence: u64,
    /// Block that was stored or removed.
    pub block: Block,
    /// True if the block was stored, false if it was removed.
    pub stored: bool,
}

impl Model {
    /// Current load, without the delay of the reports.
    #[must_use]
    pub fn current_load(&self) -> Report {
        let count = |phase| {
            let all = self.sequences.iter();
            all.filter(|sequence| sequence.phase == phase).count()
        };
        let remaining_prefill = |sequence: &Sequence| match sequence.phase {
            Phase::Waiting => sequence.prompt_tokens + sequence.next_token,
            Phase::Prefill => sequence.prefill_left,
            Phase::Decode => 0,
        };
        Report {
            running: self.running(),
            waiting: count(Phase::Waiting),
            prefill: self
                .sequences
                .iter()
                .map(|sequence| Tokens::new(remaining_prefill(sequence)))
                .sum(),
            decoding: count(Phase::Decode),
            cache: self.cache.utilization(),
            role: self.role,
            models: self.models.clone(),
            draining: self.draining,
        }
    }

    /// Load report delayed by [`super::Config::load_lag`], and its age.
    pub fn load(&mut self) -> (Report, std::time::Duration) {
        self.advance();
        let now = self.clock.now();
        if !self.faults.reports_frozen {
            while let Some((next, _)) = self.reports.get(1) {
                if now.saturating_duration_since(*next) < self.config.load_lag {
                    break;
                }
                self.reports.pop_front();
            }
        }
        let Some((at, report)) = self.reports.front() else {
            return (self.current_load(), std::time::Duration::ZERO);
        };
        let age = now.saturating_duration_since(*at);
        // A report is valid until the next one, so that its age is at most the delay.
        let age = if self.faults.reports_frozen {
            age
        } else {
            age.min(self.config.load_lag)
        };
        (report.clone(), age)
    }

    /// Cache events with sequence numbers above `after` whose delay has passed.
    #[must_use]
    pub fn events(&self, after: u64) -> Vec<Event> {
        let now = self.clock.now();
        let arrived = self.events.iter().filter(|(at, _)| *at <= now);
        arrived
            .map(|(_, event)| event)
            .filter(|event| event.sequence > after)
            .cloned()
            .collect()
    }

    /// Records the load at `at`, replacing an earlier report of the same instant.
    pub(super) fn record_report(&mut self, at: Instant) {
        if self.faults.reports_frozen {
            return;
        }
        let report = self.current_load();
        if let Some((last_at, last_report)) = self.reports.back_mut()
            && *last_at == at
        {
            *last_report = report;
            return;
        }
        if self.reports.len() == HISTORY_MAX {
            self.reports.pop_front();
        }
        self.reports.push_back((at, report));
    }

    /// Turns the recorded cache changes into delayed events, some of which are lost.
    pub(super) fn record_events(&mut self, at: Instant) {
        let arrival = at + self.config.event_lag;
        for change in std::mem::take(&mut self.cache.changes) {
            self.last_event += 1;
            if self.rng.random_bool(self.config.event_loss.get()) {
                continue;
            }
            let (hash, stored) = match change {
                Change::Stored(hash) => (hash, true),
                Change::Removed(hash) => (hash, false),
            };
            if self.events.len() == HISTORY_MAX {
                self.events.pop_front();
            }
            let event = Event {
                sequence: self.last_event,
                block: Block(hash),
                stored,
            };
            self.events.push_back((arrival, event));
        }
    }
}
