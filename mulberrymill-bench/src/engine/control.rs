use std::time::{Duration, Instant};

use mulberrymill::{
    error::{Error, Kind},
    id::Fence,
    invariant::{self, Point},
    unit::Bytes,
    wire::{Change, Role},
};
use serde::{Deserialize, Serialize};

use super::{
    Result,
    model::{Model, Output},
    sequence::{Block, block_hashes},
};

/// An order in progress.
#[derive(Debug)]
pub(super) struct Pending {
    pub end: Instant,
    change: Change,
    crash: bool,
}

/// Faults that are in effect.
#[derive(Debug)]
pub(super) struct Faults {
    pub slow: f64,
    pub frozen: bool,
    pub crash_next_change: bool,
    pub break_next: Option<Bytes>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            frozen: false,
            crash_next_change: false,
            break_next: None,
        }
    }
}

/// What an engine counted since it was made; a crash keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Tally {
    /// Sequences that lost their place in the batch.
    pub preempted: u64,
    /// Role changes that took effect.
    pub role_changes: u64,
    /// Orders that arrived while another one was in progress.
    pub conflicting_orders: u64,
    /// Orders with an old fencing number that were refused.
    pub stale_refused: u64,
    /// Orders with an old fencing number that were accepted because numbers are ignored.
    pub stale_accepted: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// All streams break and connections are refused until the restart.
    Crash,
    /// Starts again after a crash, with empty caches.
    Restart,
    /// All work takes `factor` times as long; 1 ends the fault.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Load reports stand still while on.
    StaleReports {
        /// On or off.
        on: bool,
    },
    /// Crashes half-way through the next role change.
    CrashNextChange,
    /// Breaks the next accepted stream when the answer reaches this offset.
    BreakNextStream {
        /// Offset in the answer, in bytes.
        after_bytes: u64,
    },
}

impl Model {
    /// Starts a planned change. [`Output::Applied`] tells when it is in effect.
    ///
    /// # Errors
    ///
    /// Fails with `executed: no` on an old fencing number and while another order is in progress.
    pub fn order(&mut self, change: Change, fence: Option<Fence>) -> Result<()> {
        self.advance();
        if self.crashed {
            return Err(Error::new(Kind::NoEndpoint, "the engine is down"));
        }
        // A missing number passes as the oldest one.
        let fence = fence.unwrap_or_default();
        let old = fence < self.fence;
        if old && self.config.fenced {
            self.tally.stale_refused += 1;
            return Err(Error::new(Kind::StaleFence, "the fencing number is old"));
        }
        if self.pending.is_some() {
            self.tally.conflicting_orders += 1;
            let detail = "another order is in progress";
            return Err(Error::new(Kind::OrderInProgress, detail));
        }
        self.tally.stale_accepted += u64::from(old);
        self.accept(change, fence);
        Ok(())
    }

    fn accept(&mut self, change: Change, fence: Fence) {
        invariant::check(Point::OneOrder, self.pending.is_none(), || {
            format!("{change:?} starts before {:?} ends", self.pending)
        });
        let current = !self.config.fenced || fence >= self.fence;
        invariant::check(Point::Authority, current, || {
            format!("fencing number {fence} accepted after {}", self.fence)
        });
        self.fence = self.fence.max(fence);
        let period = match change {
            Change::Role(role) if role != self.role => self.config.role_change,
            Change::Load(_) => self.config.model_load,
            Change::Role(_) | Change::Unload(_) | Change::Drain | Change::Resume => Duration::ZERO,
        };
        let period = self.scaled(period);
        let is_role = matches!(change, Change::Role(_));
        let crash = is_role && std::mem::take(&mut self.faults.crash_next_change);
        let now = self.clock.now();
        self.pending = Some(Pending {
            end: now + if crash { period / 2 } else { period },
            change,
            crash,
        });
        self.advance();
        self.sample(now);
    }

    pub(super) fn is_changing_role(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| matches!(pending.change, Change::Role(_)))
    }

    pub(super) fn finish_order(&mut self, at: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.crash {
            self.crash();
            return;
        }
        match pending.change {
            Change::Role(role) => self.change_role(role),
            Change::Load(model) => {
                if !self.models.contains(&model) {
                    self.models.push(model);
                }
            }
            Change::Unload(model) => self.models.retain(|loaded| *loaded != model),
            Change::Drain => self.draining = true,
            Change::Resume => self.draining = false,
        }
        self.out.push(Output::Applied);
        self.sample(at);
    }

    fn change_role(&mut self, role: Role) {
        self.tally.role_changes += u64::from(role != self.role);
        self.role = role;
    }

    /// Whether an order is in progress.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// What the engine counted.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Injects a fault.
    pub fn fault(&mut self, fault: Fault) {
        self.advance();
        match fault {
            Fault::Crash => self.crash(),
            Fault::Restart => self.crashed = false,
            Fault::Slow { factor } => self.faults.slow = factor.clamp(0.0, 1e6),
            Fault::StaleReports { on } => self.faults.frozen = on,
            Fault::CrashNextChange => self.faults.crash_next_change = true,
            Fault::BreakNextStream { after_bytes } => {
                self.faults.break_next = Some(Bytes::new(after_bytes));
            }
        }
    }

    fn crash(&mut self) {
        self.crashed = true;
        self.tally.crashes += 1;
        self.pending = None;
        // A new process of the engine knows neither its former role nor the highest number.
        self.role = self.config.role;
        self.models.clone_from(&self.config.models);
        self.draining = false;
        self.fence = Fence::default();
        self.clear();
        self.out.push(Output::Crashed);
    }

    /// The blocks of `prompt` that are cached, for another engine to import.
    #[must_use]
    pub fn export(&self, model: &mulberrymill::id::Model, prompt: &str) -> Vec<Block> {
        let mut hashes = block_hashes(model, prompt, self.config.block);
        hashes.truncate(self.cache.prefix(&hashes));
        hashes.into_iter().map(Block).collect()
    }

    /// Takes over blocks of another engine. Returns how many of them are cached afterwards.
    pub fn import(&mut self, blocks: &[Block]) -> usize {
        self.advance();
        let hashes: Vec<u64> = blocks.iter().map(|block| block.0).collect();
        let cached = self.cache.import(&hashes);
        self.record_events(self.clock.now());
        cached
    }
}
