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
    invariant::{self, Point},
    wire::{Change, Order, Role, Verdict},
};

/// Timeout of an order, and the longest wait for a change that is still in progress at the
/// endpoint, such as one that an earlier run of the agent started.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of verdicts that are kept to answer repeated orders. An entry repeats an order only while
/// its link is new, so a few hundred verdicts cover all repeats.
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
    pub fn holds(&self, change: &Change) -> bool {
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

/// The control interface of the endpoint.
pub trait Control: fmt::Debug {
    /// Reads the current state.
    fn state(&self) -> Future<'_, State>;

    /// Applies a change. After an error the change may or may not have taken effect.
    fn apply(&self, change: Change, fence: Fence) -> Future<'_, ()>;
}

/// Decision about an order that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the order. The gate is busy until [`Gate::finish`].
    Start,
    /// The same order is in progress; its verdict answers this copy as well.
    Join,
    /// Answer with this verdict, which is known from an earlier copy or refuses the order.
    Answer(Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Settling,
    Idle,
    Busy(id::Order),
}

/// Rules that decide which orders take effect. Does no I/O and reads no clock.
#[derive(Debug)]
pub struct Gate {
    group: Group,
    /// Lowest fencing number that is accepted; `None` until it has been read from the store.
    floor: Option<Fence>,
    phase: Phase,
    verdicts: VecDeque<(id::Order, Verdict)>,
    effects: u32,
}

impl Gate {
    /// A gate that accepts no order until [`Gate::open`].
    #[must_use]
    pub fn new(group: Group) -> Self {
        Self {
            group,
            floor: None,
            phase: Phase::Settling,
            verdicts: VecDeque::new(),
            effects: 0,
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

    /// Starts to accept orders. To be called when no change of an earlier order is in progress.
    pub fn open(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Decides about an order.
    ///
    /// Refusals are recorded as well: a later copy of a refused order must not take effect after
    /// the sender was told that the order had none.
    pub fn admit(&mut self, order: &Order) -> Decision {
        if self.phase == Phase::Busy(order.order) {
            return Decision::Join;
        }
        let known = self.verdicts.iter().find(|(id, _)| *id == order.order);
        if let Some((_, verdict)) = known {
            return Decision::Answer(*verdict);
        }
        match self.refusal(order) {
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

    fn refusal(&mut self, order: &Order) -> Option<Kind> {
        if order.group != self.group {
            return Some(Kind::Forbidden);
        }
        let Some(floor) = self.floor else {
            return Some(Kind::StoreUnavailable);
        };
        if order.fence < floor {
            return Some(Kind::StaleFence);
        }
        // A newer holder displaces the older one even if its first order is refused as busy.
        self.raise_floor(order.fence);
        (self.phase != Phase::Idle).then_some(Kind::OrderInProgress)
    }

    /// Whether an order with this fencing number may still take effect.
    #[must_use]
    pub fn is_current(&self, fence: Fence) -> bool {
        self.floor.is_some_and(|floor| fence >= floor)
    }

    /// To be called directly before the endpoint is changed; checks the invariants.
    pub fn begin_effect(&mut self, fence: Fence) {
        let (floor, effects) = (self.floor, self.effects);
        invariant::check(Point::Authority, self.is_current(fence), || {
            format!("change with fencing number {fence}, but the floor is {floor:?}")
        });
        invariant::check(Point::OneOrder, effects == 0, || {
            format!("change with fencing number {fence} while {effects} others are in progress")
        });
        self.effects += 1;
    }

    /// To be called when the endpoint no longer applies the change, or after the timeout.
    pub fn end_effect(&mut self) {
        self.effects -= 1;
    }

    /// Ends an order and records its verdict. Unless `settled`, new orders are refused until
    /// [`Gate::open`].
    pub fn finish(&mut self, order: id::Order, verdict: Verdict, settled: bool) {
        self.record_verdict(order, verdict);
        self.phase = if settled {
            Phase::Idle
        } else {
            Phase::Settling
        };
    }

    fn record_verdict(&mut self, order: id::Order, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_MAX {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((order, verdict));
    }
}
