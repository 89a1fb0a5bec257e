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

/// Load reports and events that are kept at most.
const KEPT: usize = 10_000;

/// Load of an engine as it reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Prompt tokens that are not processed yet.
    pub prefill: Tokens,
    /// Requests that generate.
    pub decoding: usize,
    /// Part of the KV blocks that requests hold.
    pub cache: Share,
    /// Role.
    pub role: Role,
    /// Models that are loaded.
    pub models: Vec<id::Model>,
    /// Whether new work is refused.
    pub draining: bool,
}

/// A change of the prefix cache. A gap in the numbers shows that events were lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Event {
    /// Counts from 1.
    pub sequence: u64,
    /// The block.
    pub block: Block,
    /// Stored, or else removed.
    pub stored: bool,
}

impl Model {
    /// The load as it is now, without the lag.
    #[must_use]
    pub fn current(&self) -> Report {
        let count = |phase| {
            let all = self.sequences.iter();
            all.filter(|one| one.phase == phase).count()
        };
        let prefill = |one: &Sequence| match one.phase {
            Phase::Waiting => one.prompt + one.next,
            Phase::Prefill => one.left,
            Phase::Decode => 0,
        };
        Report {
            running: self.running(),
            waiting: count(Phase::Waiting),
            prefill: self
                .sequences
                .iter()
                .map(|one| Tokens::new(prefill(one)))
                .sum(),
            decoding: count(Phase::Decode),
            cache: self.cache.share(),
            role: self.role,
            models: self.models.clone(),
            draining: self.draining,
        }
    }

    /// The load as the engine reports it now, and its age.
    pub fn load(&mut self) -> (Report, std::time::Duration) {
        self.advance();
        let now = self.clock.now();
        if !self.faults.frozen {
            while let Some((next, _)) = self.reports.get(1) {
                if now.saturating_duration_since(*next) < self.config.load_lag {
                    break;
                }
                self.reports.pop_front();
            }
        }
        let Some((at, report)) = self.reports.front() else {
            return (self.current(), std::time::Duration::ZERO);
        };
        let age = now.saturating_duration_since(*at);
        // A report stays true until the next one, so that it is never older than the lag.
        let age = if self.faults.frozen {
            age
        } else {
            age.min(self.config.load_lag)
        };
        (report.clone(), age)
    }

    /// Cache events after number `after` that have arrived by now.
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

    pub(super) fn sample(&mut self, at: Instant) {
        if self.faults.frozen {
            return;
        }
        let report = self.current();
        if let Some((last, same)) = self.reports.back_mut()
            && *last == at
        {
            *same = report;
            return;
        }
        if self.reports.len() == KEPT {
            self.reports.pop_front();
        }
        self.reports.push_back((at, report));
    }

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
            if self.events.len() == KEPT {
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
