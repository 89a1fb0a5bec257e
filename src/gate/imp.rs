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

/// Time limit of an order, and the longest wait for one that an earlier run of the agent started.
pub const ORDER_LIMIT: Duration = Duration::from_secs(30);
/// Verdicts that are kept for repeated orders. An entry repeats an order only while its link is
/// new, so that a few hundred orders cover all repeats.
const VERDICTS_MAX: usize = 512;

/// What the endpoint says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Role in effect.
    pub role: Role,
    /// Models that are loaded.
    pub models: BTreeSet<Model>,
    /// It takes no new work.
    pub draining: bool,
    /// A change is in progress.
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

/// A pending call of the endpoint.
pub type Future<'a, T> = LocalBoxFuture<'a, Result<T>>;

/// The control interface of the endpoint.
pub trait Control: fmt::Debug {
    /// Asks for the present state.
    fn state(&self) -> Future<'_, State>;

    /// Applies a change. An error does not tell whether the change took effect.
    fn apply(&self, change: Change, fence: Fence) -> Future<'_, ()>;
}

/// Decision on an order that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it. The gate is busy until [`Gate::finish`].
    Start,
    /// The same order is in progress; its verdict answers this copy as well.
    Join,
    /// The order has this verdict already, or is refused.
    Answer(Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Settling,
    Idle,
    Busy(id::Order),
}

/// The rules of the gate. Holds no sockets and reads no clock.
#[derive(Debug)]
pub struct Gate {
    group: Group,
    /// Lowest fencing number that is accepted; none before it was learned from the store.
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

    /// Takes note of a fencing number. A lower one than known changes nothing.
    pub fn learn(&mut self, fence: Fence) {
        self.floor = self.floor.max(Some(fence));
    }

    /// Lowest fencing number that is accepted.
    #[must_use]
    pub fn floor(&self) -> Option<Fence> {
        self.floor
    }

    /// Accepts orders: nothing from an earlier order is in progress any more.
    pub fn open(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Decides on an order.
    ///
    /// Refusals are remembered as well: a second copy of a refused order must not take effect
    /// after the sender was told that it had none.
    pub fn admit(&mut self, order: &Order) -> Admission {
        if self.phase == Phase::Busy(order.order) {
            return Admission::Join;
        }
        let known = self.verdicts.iter().find(|(id, _)| *id == order.order);
        if let Some((_, verdict)) = known {
            return Admission::Answer(*verdict);
        }
        match self.refusal(order) {
            None => {
                self.phase = Phase::Busy(order.order);
                Admission::Start
            }
            Some(kind) => {
                let verdict = Verdict::Refused(kind);
                self.remember(order.order, verdict);
                Admission::Answer(verdict)
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
        // A newer holder displaces the older one even if its first order has to wait.
        self.learn(order.fence);
        (self.phase != Phase::Idle).then_some(Kind::OrderInProgress)
    }

    /// Whether an order with this number may still take effect.
    #[must_use]
    pub fn is_current(&self, fence: Fence) -> bool {
        self.floor.is_some_and(|floor| fence >= floor)
    }

    /// Called right before the endpoint is changed.
    pub fn begin_effect(&mut self, fence: Fence) {
        let (floor, effects) = (self.floor, self.effects);
        invariant::check(Point::Authority, self.is_current(fence), || {
            format!("effect of fence {fence} with floor {floor:?}")
        });
        invariant::check(Point::OneOrder, effects == 0, || {
            format!("effect of fence {fence} beside {effects} others")
        });
        self.effects += 1;
    }

    /// Called when the endpoint no longer works on the change, or the time limit has passed.
    pub fn end_effect(&mut self) {
        self.effects -= 1;
    }

    /// Records the verdict. Unless `settled`, the gate stays closed until [`Gate::open`].
    pub fn finish(&mut self, order: id::Order, verdict: Verdict, settled: bool) {
        self.remember(order, verdict);
        self.phase = if settled {
            Phase::Idle
        } else {
            Phase::Settling
        };
    }

    fn remember(&mut self, order: id::Order, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_MAX {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((order, verdict));
    }
}
