use std::time::{Duration, Instant};

use mulberrymill::{
    error::{Error, Kind},
    id::Fence,
    invariant::{self, Invariant},
    unit::Bytes,
    wire::{Change, Role},
};
use serde::{Deserialize, Serialize};

use super::{
    Result,
    model::{Model, Output},
    sequence::{Block, block_hashes},
};

/// Order in progress.
#[derive(Debug)]
pub(super) struct Pending {
    /// When the change takes effect.
    pub end: Instant,
    change: Change,
    /// Whether an injected fault crashes the engine at `end`.
    crash: bool,
}

/// Injected faults that are active or armed.
#[derive(Debug)]
pub(super) struct Faults {
    /// Factor on the durations of steps, role changes and model loading.
    pub slow_factor: f64,
    pub reports_frozen: bool,
    pub crash_next_change: bool,
    /// Offset at which the answer of the next accepted request breaks.
    pub break_next_at: Option<Bytes>,
    /// Pause that is asked for in the refusal of each request.
    pub pause: Option<Duration>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            reports_frozen: false,
            crash_next_change: false,
            break_next_at: None,
            pause: None,
        }
    }
}

/// Counters of an engine since its creation; a crash does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Tally {
    /// Times that a sequence was preempted.
    pub preempted: u64,
    /// Completed role changes.
    pub role_changes: u64,
    /// Orders refused because another one was in progress.
    pub conflicting_orders: u64,
    /// Orders refused because of a stale fencing number.
    pub stale_refused: u64,
    /// Orders with a stale fencing number that were accepted because fencing is off.
    pub stale_accepted: u64,
    /// Injected crashes.
    pub crashes: u64,
    /// Requests refused by [`Fault::Pause`].
    pub paused: u64,
}

/// Fault to inject; the serialized form is the body of `POST /fault`.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Breaks all streams and refuses connections until [`Fault::Restart`].
    Crash,
    /// Restarts a crashed engine, with an empty cache.
    Restart,
    /// Multiplies the durations of steps, role changes and model loading; a factor of 1 ends the
    /// fault.
    Slow {
        /// Factor, limited to the range from 0 to 1,000,000.
        factor: f64,
    },
    /// Stops updating the load reports while on.
    StaleReports {
        /// Whether the reports are stopped.
        on: bool,
    },
    /// Crashes the engine halfway through the next role change.
    CrashNextChange,
    /// Breaks the next accepted stream when the answer reaches this offset.
    BreakNextStream {
        /// Offset in the answer, in bytes.
        after_bytes: u64,
    },
    /// Says in all answers that the engine is leaving, until it restarts, and goes on otherwise.
    SayLeaving,
    /// Refuses all requests and asks for a pause.
    Pause {
        /// Length of the pause in whole seconds; 0 ends the fault.
        seconds: u64,
    },
}

impl Model {
    /// Starts a configuration change. [`Output::Applied`] reports that it is in effect.
    ///
    /// # Errors
    ///
    /// Fails with `executed: no` if the engine is down, the fencing number is stale or another
    /// order is in progress.
    pub fn order(&mut self, change: Change, fence: Option<Fence>) -> Result<()> {
        self.advance();
        if self.crashed {
            return Err(Error::new(Kind::NoEndpoint, "the engine is down"));
        }
        // A missing fencing number counts as the lowest one.
        let fence = fence.unwrap_or_default();
        let stale = fence < self.fence;
        if stale && self.config.fenced {
            self.tally.stale_refused += 1;
            return Err(Error::new(Kind::StaleFence, "the fencing number is old"));
        }
        if self.pending.is_some() {
            self.tally.conflicting_orders += 1;
            let detail = "another order is in progress";
            return Err(Error::new(Kind::OrderInProgress, detail));
        }
        self.tally.stale_accepted += u64::from(stale);
        self.start_order(change, fence);
        Ok(())
    }

    fn start_order(&mut self, change: Change, fence: Fence) {
        invariant::check(Invariant::OneOrder, self.pending.is_none(), || {
            format!("{change:?} starts before {:?} ends", self.pending)
        });
        let fence_valid = !self.config.fenced || fence >= self.fence;
        invariant::check(Invariant::Authority, fence_valid, || {
            format!("fencing number {fence} accepted after {}", self.fence)
        });
        self.fence = self.fence.max(fence);
        let duration = match change {
            Change::Role(role) if role != self.role => self.config.role_change,
            Change::Load(_) => self.config.model_load,
            Change::Role(_) | Change::Unload(_) | Change::Drain | Change::Resume => Duration::ZERO,
        };
        let duration = self.scaled_duration(duration);
        let is_role = matches!(change, Change::Role(_));
        let crash = is_role && std::mem::take(&mut self.faults.crash_next_change);
        let now = self.clock.now();
        self.pending = Some(Pending {
            end: now + if crash { duration / 2 } else { duration },
            change,
            crash,
        });
        self.advance();
        self.record_report(now);
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
        self.outputs.push(Output::Applied);
        self.record_report(at);
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

    /// Counters since the creation of the engine.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Whether all answers say that the engine is leaving.
    #[must_use]
    pub const fn says_leaving(&self) -> bool {
        self.says_leaving
    }

    /// Injects a fault, or ends one.
    pub fn fault(&mut self, fault: Fault) {
        self.advance();
        match fault {
            Fault::Crash => self.crash(),
            Fault::Restart => self.crashed = false,
            Fault::Slow { factor } => self.faults.slow_factor = factor.clamp(0.0, 1e6),
            Fault::StaleReports { on } => self.faults.reports_frozen = on,
            Fault::CrashNextChange => self.faults.crash_next_change = true,
            Fault::BreakNextStream { after_bytes } => {
                self.faults.break_next_at = Some(Bytes::new(after_bytes));
            }
            Fault::SayLeaving => self.says_leaving = true,
            Fault::Pause { seconds } => {
                self.faults.pause = (seconds > 0).then(|| Duration::from_secs(seconds));
            }
        }
    }

    fn crash(&mut self) {
        self.crashed = true;
        self.tally.crashes += 1;
        self.pending = None;
        // A restarted process knows neither its former role nor the highest fencing number.
        self.role = self.config.role;
        self.models.clone_from(&self.config.models);
        self.draining = false;
        self.says_leaving = false;
        self.fence = Fence::default();
        self.reset_work();
        self.outputs.push(Output::Crashed);
    }

    /// Leading blocks of `prompt` that are cached, for [`Model::import`] by another engine.
    #[must_use]
    pub fn export(&self, model: &mulberrymill::id::Model, prompt: &str) -> Vec<Block> {
        let mut hashes = block_hashes(model, prompt, self.config.block);
        hashes.truncate(self.cache.cached_prefix_len(&hashes));
        hashes.into_iter().map(Block).collect()
    }

    /// Stores blocks of another engine while there is space. Returns how many leading blocks are
    /// cached afterwards.
    pub fn import(&mut self, blocks: &[Block]) -> usize {
        self.advance();
        let hashes: Vec<u64> = blocks.iter().map(|block| block.0).collect();
        let cached = self.cache.import(&hashes);
        self.record_events(self.clock.now());
        cached
    }
}
