use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    time::Duration,
};

use futures_util::future::LocalBoxFuture;

use super::Result;
use crate::{
    error::Kind,
    id::{self, Fence, Group, Model},
    invariant::{self, Invariant},
    wire::{Change, Order, Role, Verdict},
};

/// Timeout of a call that changes the endpoint. If the endpoint is still applying a change after
/// the call, or when the agent starts, the agent waits for its end for at most this time as well.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of verdicts that are kept to answer repeated orders. The sender repeats an order only
/// until it receives the verdict, every 5 s and with the same id, and plans one change of an
/// endpoint at a time, so a few hundred verdicts cover all repeats.
const VERDICTS_MAX: usize = 512;

/// State of an endpoint as its control interface reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Role that the endpoint has now.
    pub role: Role,
    /// Loaded models.
    pub models: BTreeSet<Model>,
    /// The endpoint takes no new work.
    pub draining: bool,
    /// The endpoint is still applying a change.
    pub changing: bool,
}

impl State {
    /// Whether the change is in effect.
    #[must_use]
    pub fn reflects(&self, change: &Change) -> bool {
        match change {
            Change::Role(role) => self.role == *role,
            Change::Load(model) => self.models.contains(model),
            Change::Unload(model) => !self.models.contains(model),
            Change::Drain => self.draining,
            Change::Resume => !self.draining,
        }
    }
}

/// Pending call of the control interface.
pub type Future<'a, T> = LocalBoxFuture<'a, Result<T>>;

/// Control interface of the endpoint that the agent manages.
pub trait Control: fmt::Debug {
    /// Reads the current state.
    fn state(&self) -> Future<'_, State>;

    /// Applies a change. After an error the change may or may not have taken effect.
    fn apply(&self, change: Change, fence: Fence) -> Future<'_, ()>;
}

/// How to handle an order that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the order. The gate is busy until [`Gate::finish`].
    Start,
    /// The same order is in progress; its verdict answers this copy as well.
    Join,
    /// Answer with this verdict: the one of an earlier copy of the order, or a refusal.
    Answer(Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Another change may be in progress at the endpoint: before the first [`Gate::open`], and
    /// after an order that left the endpoint in an unknown state.
    Closed,
    /// No order is in progress.
    Idle,
    /// This order is in progress.
    Busy(id::Order),
}

/// Fences and deduplicates the orders to an endpoint. Does no I/O and reads no clock.
#[derive(Debug)]
pub struct Gate {
    group: Group,
    /// Lowest fencing number that is accepted; `None` until it has been read from the store.
    floor: Option<Fence>,
    phase: Phase,
    verdicts: VecDeque<(id::Order, Verdict)>,
    /// Number of changes that the endpoint is applying; more than one is a fault.
    changes_in_progress: u32,
}

impl Gate {
    /// A gate that refuses all orders until [`Gate::open`] has been called and the floor is known.
    #[must_use]
    pub fn new(group: Group) -> Self {
        Self {
            group,
            floor: None,
            phase: Phase::Closed,
            verdicts: VecDeque::new(),
            changes_in_progress: 0,
        }
    }

    /// Raises the lowest accepted fencing number to `fence`. A lower number has no effect.
    pub fn raise_floor(&mut self, fence: Fence) {
        self.floor = self.floor.max(Some(fence));
    }

    /// Lowest fencing number that is accepted; `None` until it has been read from the store.
    #[must_use]
    pub fn floor(&self) -> Option<Fence> {
        self.floor
    }

    /// Starts to accept orders. While the floor is unknown, all orders are still refused. To be
    /// called when no change of an earlier order is in progress.
    pub fn open(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Accepts, joins or refuses an order. An accepted order makes the gate busy until
    /// [`Gate::finish`]. A fencing number above the floor raises the floor, also if the order is
    /// refused because another one is in progress.
    ///
    /// Refusals are recorded as well: once the sender has been told that an order had no effect, a
    /// later copy of it must not take effect.
    pub fn decide(&mut self, order: &Order) -> Decision {
        if self.phase == Phase::Busy(order.order) {
            return Decision::Join;
        }
        let known = self.verdicts.iter().find(|(id, _)| *id == order.order);
        if let Some((_, verdict)) = known {
            return Decision::Answer(*verdict);
        }
        match self.raise_floor_or_refuse(order) {
            None => {
                self.phase = Phase::Busy(order.order);
                Decision::Start
            }
            Some(kind) => {
                let verdict = Verdict::Refused(kind);
                self.record_verdict(order.order, verdict);
                Decision::Answer(verdict)
            }
        }
    }

    /// Raises the floor to the fencing number of an order that is not stale. Returns the reason to
    /// refuse the order, or `None` to accept it.
    fn raise_floor_or_refuse(&mut self, order: &Order) -> Option<Kind> {
        if order.group != self.group {
            return Some(Kind::Forbidden);
        }
        let Some(floor) = self.floor else {
            return Some(Kind::StoreUnavailable);
        };
        if order.fence < floor {
            return Some(Kind::StaleFence);
        }
        // Even if this order is refused below because the gate is busy or closed, its holder is the
        // newer one, and later orders of the previous holder are stale.
        self.raise_floor(order.fence);
        (self.phase != Phase::Idle).then_some(Kind::OrderInProgress)
    }

    /// Whether an order with this fencing number may still take effect.
    #[must_use]
    pub fn is_current(&self, fence: Fence) -> bool {
        self.floor.is_some_and(|floor| fence >= floor)
    }

    /// Counts a change as in progress. Checks the invariants that its fencing number is current and
    /// that no other change is in progress. To be called directly before the endpoint is changed.
    pub fn begin_change(&mut self, fence: Fence) {
        let (floor, others) = (self.floor, self.changes_in_progress);
        invariant::check(Invariant::Authority, self.is_current(fence), || {
            let lowest = floor.map_or_else(|| "unknown".to_owned(), |floor| floor.to_string());
            format!("change with fencing number {fence}; the lowest accepted one is {lowest}")
        });
        invariant::check(Invariant::OneOrder, others == 0, || {
            format!("change with fencing number {fence}; other changes in progress: {others}")
        });
        self.changes_in_progress += 1;
    }

    /// Counts a change as ended. To be called when the endpoint has finished applying it, with or
    /// without success, or when the wait for that has exceeded [`ORDER_TIMEOUT`].
    pub fn end_change(&mut self) {
        self.changes_in_progress -= 1;
    }

    /// Ends an order and records its verdict. `settled` says whether the endpoint is in a known
    /// state; if it is not, new orders are refused until [`Gate::open`].
    pub fn finish(&mut self, order: id::Order, verdict: Verdict, settled: bool) {
        self.record_verdict(order, verdict);
        self.phase = if settled { Phase::Idle } else { Phase::Closed };
    }

    fn record_verdict(&mut self, order: id::Order, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_MAX {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((order, verdict));
    }
}
