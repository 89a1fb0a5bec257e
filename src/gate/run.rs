use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::time;

use super::{
    Control, Gate, ORDER_TIMEOUT, Result, State,
    plan::{Phase, Plan, Settlement, settlement},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Fence, Incarnation, Revision},
    store::{Compare, Path, Store, Txn, Write},
    wire::{Change, Order, Verdict},
};

/// Longest time from the start of a plan write to the change: two thirds of the 9 s lease, the time
/// after which a holder stops.
const PLAN_AGE_MAX: Duration = Duration::from_secs(6);
/// Pause between two reads of the endpoint's state, and between retries of a settlement.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// Transactions for one plan: the first, and one to replace a plan that a lost answer left behind.
const PLAN_WRITES_MAX: usize = 2;

/// Runs orders against the store and the endpoint.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) store: Rc<dyn Store>,
    pub(super) control: Rc<dyn Control>,
    pub(super) clock: clock::Shared,
    pub(super) incarnation: Incarnation,
    pub(super) plan: Path,
    pub(super) group_key: Path,
    pub(super) gate: Rc<RefCell<Gate>>,
}

/// Result of an order, and whether the endpoint is in a known state after it.
pub(super) struct OrderResult {
    pub(super) verdict: Verdict,
    pub(super) settled: bool,
}

impl OrderResult {
    fn settled(verdict: Verdict) -> Self {
        Self {
            verdict,
            settled: true,
        }
    }
}

impl Runner {
    /// Runs an order that the gate has started.
    pub(super) async fn run(&self, order: &Order) -> OrderResult {
        let sent = self.clock.now();
        match self.write_plan(order).await {
            Ok(()) => {}
            Err(verdict) => {
                let settled = verdict != Verdict::Refused(Kind::OrderInProgress);
                return OrderResult { verdict, settled };
            }
        }
        // The process may have been paused during the write, or a newer holder may have sent an
        // order meanwhile.
        let fresh = self.clock.now() - sent <= PLAN_AGE_MAX;
        if !fresh || !self.gate.borrow().is_current(order.fence) {
            // A later run may still finish a plan that is left behind, so this is then no refusal.
            let removed = self.remove_plan().await;
            return OrderResult::settled(if removed {
                Verdict::Refused(Kind::StaleFence)
            } else {
                Verdict::Failed(Kind::Unsettled)
            });
        }
        let result = self.apply(&order.change, order.fence).await;
        if result.settled && !self.remove_plan().await {
            log::warn!(endpoint:% = self.plan; "failed to remove the plan key after its order");
        }
        result
    }

    async fn write_plan(&self, order: &Order) -> std::result::Result<(), Verdict> {
        let refused = Verdict::Refused;
        let plan = Plan {
            order: order.order,
            change: order.change.clone(),
            fence: order.fence,
            incarnation: self.incarnation,
            phase: Phase::Planned,
        };
        let value = plan.encode().map_err(|error| refused(error.kind()))?;
        let held = Revision::new(order.fence.get());
        let mut expected = Compare::Absent(self.plan.clone());
        for _ in 0..PLAN_WRITES_MAX {
            let txn = Txn {
                compares: vec![Compare::Created(self.group_key.clone(), held), expected],
                writes: vec![Write::Put(self.plan.clone(), value.clone(), None)],
            };
            let commit = match self.store.commit(txn).await {
                Ok(commit) => commit,
                Err(error) => return self.confirm_plan(&error, &value).await,
            };
            if commit.succeeded {
                return Ok(());
            }
            let find = |path: &Path| commit.found.iter().find(|item| item.path == *path);
            if find(&self.group_key).is_none_or(|item| item.created != held) {
                return Err(refused(Kind::StaleFence));
            }
            expected = match find(&self.plan) {
                None => Compare::Absent(self.plan.clone()),
                Some(item) => {
                    let own = Plan::decode(&item.value)
                        .is_some_and(|found| found.incarnation == self.incarnation);
                    if !own {
                        return Err(refused(Kind::OrderInProgress));
                    }
                    // This run has no other order in progress, so the plan is a leftover of it.
                    Compare::Modified(self.plan.clone(), item.modified)
                }
            };
        }
        Err(refused(Kind::OrderInProgress))
    }

    /// Finds out, by reading the plan, whether a write whose answer was lost took effect.
    async fn confirm_plan(&self, error: &Error, value: &[u8]) -> std::result::Result<(), Verdict> {
        if error.executed() == Executed::No {
            return Err(Verdict::Refused(Kind::StoreUnavailable));
        }
        match self.store.get(self.plan.clone()).await {
            Ok(range) if range.items.iter().any(|item| item.value == value) => Ok(()),
            // The write may still take effect, and a later run of the agent may then finish it.
            _ => Err(Verdict::Failed(Kind::Unsettled)),
        }
    }

    async fn remove_plan(&self) -> bool {
        let txn = Txn {
            compares: Vec::new(),
            writes: vec![Write::Delete(self.plan.clone())],
        };
        match self.store.commit(txn).await {
            Ok(commit) => commit.succeeded,
            Err(_lost) => {
                let read = self.store.get(self.plan.clone()).await;
                read.is_ok_and(|range| range.items.is_empty())
            }
        }
    }

    /// Applies a change to the endpoint and determines its verdict.
    async fn apply(&self, change: &Change, fence: Fence) -> OrderResult {
        self.gate.borrow_mut().begin_change(fence);
        let apply = self.control.apply(change.clone(), fence);
        let applied = time::timeout(ORDER_TIMEOUT, apply).await;
        let result = match applied {
            Ok(Ok(())) => OrderResult::settled(Verdict::Applied),
            Ok(Err(error)) => self.verdict_from_state(change, error.kind()).await,
            Err(_elapsed) => self.verdict_from_state(change, Kind::Deadline).await,
        };
        self.gate.borrow_mut().end_change();
        result
    }

    /// Determines the verdict of a failed or timed-out change from the state of the endpoint.
    async fn verdict_from_state(&self, change: &Change, kind: Kind) -> OrderResult {
        match self.wait_settled().await {
            Some(state) if state.changing => OrderResult {
                verdict: Verdict::Failed(Kind::Deadline),
                settled: false,
            },
            Some(state) if state.reflects(change) => OrderResult::settled(Verdict::Applied),
            Some(_) => OrderResult::settled(Verdict::Failed(kind)),
            None => OrderResult {
                verdict: Verdict::Failed(Kind::EndpointLost),
                settled: false,
            },
        }
    }

    /// Waits until the endpoint applies no change, for at most [`ORDER_TIMEOUT`]. Returns the last
    /// state read, or `None` if the last read failed.
    async fn wait_settled(&self) -> Option<State> {
        let end = self.clock.now() + ORDER_TIMEOUT;
        loop {
            let time_left = end.saturating_duration_since(self.clock.now());
            let read = time::timeout(time_left.max(POLL_PAUSE), self.control.state()).await;
            let state = read.ok().and_then(Result::ok);
            let settled = state.as_ref().is_some_and(|state| !state.changing);
            if settled || self.clock.now() >= end {
                return state;
            }
            time::sleep(POLL_PAUSE).await;
        }
    }

    /// Reads the current fencing number, waits for a change that an earlier run started, and
    /// settles its order.
    pub(super) async fn settle(&self) {
        while let Err(error) = self.read_floor().await {
            log::warn!(kind:% = error.kind(); "failed to read the fencing number; retrying");
            time::sleep(POLL_PAUSE).await;
        }
        let mut state = self.wait_settled().await;
        while let Err(error) = self.settle_interrupted(state.as_ref()).await {
            log::warn!(kind:% = error.kind(); "failed to settle the interrupted order; retrying");
            time::sleep(POLL_PAUSE).await;
            state = self.wait_settled().await;
        }
    }

    /// Raises the floor of the gate to the fencing number in the store. If the group has no holder,
    /// the next one has a higher number than the revision of the read.
    async fn read_floor(&self) -> Result<()> {
        let range = self.store.get(self.group_key.clone()).await?;
        let floor = range
            .items
            .first()
            .map_or(range.revision.get() + 1, |item| item.created.get());
        self.gate.borrow_mut().raise_floor(Fence::new(floor));
        Ok(())
    }

    /// Settles the order of a plan that an earlier run left, and removes the plan.
    async fn settle_interrupted(&self, state: Option<&State>) -> Result<()> {
        let range = self.store.get(self.plan.clone()).await?;
        let Some(item) = range.items.into_iter().next() else {
            return Ok(());
        };
        if let Some(plan) = Plan::decode(&item.value) {
            let state = state.ok_or_else(|| Error::new(Kind::EndpointLost, "no state"))?;
            if !state.reflects(&plan.change) {
                self.settle_plan(&plan).await?;
            }
        }
        let txn = Txn {
            compares: vec![Compare::Modified(self.plan.clone(), item.modified)],
            writes: vec![Write::Delete(self.plan.clone())],
        };
        self.store.commit(txn).await.map(|_commit| ())
    }

    async fn settle_plan(&self, plan: &Plan) -> Result<()> {
        // The holder may have changed during the wait for the endpoint. The number in the store
        // decides, so it is read again.
        self.read_floor().await?;
        let floor = self.gate.borrow().floor().unwrap_or_default();
        let change = match settlement(&plan.change, plan.fence == floor) {
            Settlement::Leave => return Ok(()),
            Settlement::Finish(change) | Settlement::RollBack(change) => change,
        };
        match self.apply(&change, floor).await.verdict {
            Verdict::Applied => Ok(()),
            Verdict::Refused(kind) | Verdict::Failed(kind) => Err(Error::new(
                kind,
                "the interrupted change could not be settled",
            )),
        }
    }
}
