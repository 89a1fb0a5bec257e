use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::time;

use super::{
    Control, Gate, ORDER_LIMIT, Result, State,
    plan::{Phase, Plan, Settlement, settlement},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Fence, Incarnation, Revision},
    store::{Compare, Path, Store, Txn, Write},
    wire::{Change, Order, Verdict},
};

/// Age up to which a confirmed plan counts: two thirds of the 9 s lease, as for its holder.
const PLAN_FRESH: Duration = Duration::from_secs(6);
/// Pause between two questions about a change in progress.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// Transactions for one plan: the first, and one to replace what a lost answer left.
const PLAN_TRIES: usize = 2;

/// Runs orders against the store and the endpoint.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) store: Rc<dyn Store>,
    pub(super) control: Rc<dyn Control>,
    pub(super) clock: clock::Shared,
    pub(super) incarnation: Incarnation,
    pub(super) plan: Path,
    pub(super) lease: Path,
    pub(super) gate: Rc<RefCell<Gate>>,
}

/// Result of an order, and whether the endpoint is in a known state after it.
pub(super) struct Ended {
    pub(super) verdict: Verdict,
    pub(super) settled: bool,
}

impl Ended {
    fn settled(verdict: Verdict) -> Self {
        Self {
            verdict,
            settled: true,
        }
    }
}

impl Runner {
    /// Runs an order that the gate has started.
    pub(super) async fn run(&self, order: &Order) -> Ended {
        let sent = self.clock.now();
        match self.write_plan(order).await {
            Ok(()) => {}
            Err(verdict) => {
                let settled = verdict != Verdict::Refused(Kind::OrderInProgress);
                return Ended { verdict, settled };
            }
        }
        // The process may have been frozen during the write, or a newer holder may have called.
        let fresh = self.clock.now() - sent <= PLAN_FRESH;
        if !fresh || !self.gate.borrow().is_current(order.fence) {
            // A plan that stays behind may be finished by a later run: then it is no refusal.
            let removed = self.remove_plan().await;
            return Ended::settled(if removed {
                Verdict::Refused(Kind::StaleFence)
            } else {
                Verdict::Failed(Kind::Unsettled)
            });
        }
        let ended = self.effect(&order.change, order.fence).await;
        if ended.settled && !self.remove_plan().await {
            log::warn!(endpoint:% = self.plan; "plan key remains after its order");
        }
        ended
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
        for _ in 0..PLAN_TRIES {
            let txn = Txn {
                compares: vec![Compare::Created(self.lease.clone(), held), expected],
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
            if find(&self.lease).is_none_or(|item| item.created != held) {
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
                    // No order of this run is in progress, so this plan is a leftover.
                    Compare::Modified(self.plan.clone(), item.modified)
                }
            };
        }
        Err(refused(Kind::OrderInProgress))
    }

    /// Settles a plan whose answer was lost, by reading it back.
    async fn confirm_plan(&self, error: &Error, value: &[u8]) -> std::result::Result<(), Verdict> {
        if error.executed() == Executed::No {
            return Err(Verdict::Refused(Kind::StoreUnavailable));
        }
        match self.store.get(self.plan.clone()).await {
            Ok(range) if range.items.iter().any(|item| item.value == value) => Ok(()),
            // The write may still arrive, and a later run of the agent may then finish it.
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

    /// Changes the endpoint and finds out what came of it.
    async fn effect(&self, change: &Change, fence: Fence) -> Ended {
        self.gate.borrow_mut().begin_effect(fence);
        let apply = self.control.apply(change.clone(), fence);
        let applied = time::timeout(ORDER_LIMIT, apply).await;
        let ended = match applied {
            Ok(Ok(())) => Ended::settled(Verdict::Applied),
            Ok(Err(error)) => self.examine(change, error.kind()).await,
            Err(_elapsed) => self.examine(change, Kind::Deadline).await,
        };
        self.gate.borrow_mut().end_effect();
        ended
    }

    async fn examine(&self, change: &Change, kind: Kind) -> Ended {
        match self.wait_settled().await {
            Some(state) if state.changing => Ended {
                verdict: Verdict::Failed(Kind::Deadline),
                settled: false,
            },
            Some(state) if state.holds(change) => Ended::settled(Verdict::Applied),
            Some(_) => Ended::settled(Verdict::Failed(kind)),
            None => Ended {
                verdict: Verdict::Failed(Kind::EndpointLost),
                settled: false,
            },
        }
    }

    /// Waits until no change is in progress or the order limit has passed. Returns the last known
    /// state, or none if the endpoint did not answer.
    async fn wait_settled(&self) -> Option<State> {
        let end = self.clock.now() + ORDER_LIMIT;
        loop {
            let left = end.saturating_duration_since(self.clock.now());
            let asked = time::timeout(left.max(POLL_PAUSE), self.control.state()).await;
            let state = asked.ok().and_then(Result::ok);
            let settled = state.as_ref().is_some_and(|state| !state.changing);
            if settled || self.clock.now() >= end {
                return state;
            }
            time::sleep(POLL_PAUSE).await;
        }
    }

    /// Learns the highest fencing number, waits for what an earlier run started, and settles it.
    pub(super) async fn settle(&self) {
        while let Err(error) = self.learn().await {
            log::warn!(kind:% = error.kind(); "fencing number not learned; retrying");
            time::sleep(POLL_PAUSE).await;
        }
        let mut state = self.wait_settled().await;
        while let Err(error) = self.recover(state.as_ref()).await {
            log::warn!(kind:% = error.kind(); "interrupted order not settled; retrying");
            time::sleep(POLL_PAUSE).await;
            state = self.wait_settled().await;
        }
    }

    async fn learn(&self) -> Result<()> {
        let range = self.store.get(self.lease.clone()).await?;
        let floor = range
            .items
            .first()
            .map_or(range.revision.get() + 1, |item| item.created.get());
        self.gate.borrow_mut().learn(Fence::new(floor));
        Ok(())
    }

    async fn recover(&self, state: Option<&State>) -> Result<()> {
        let range = self.store.get(self.plan.clone()).await?;
        let Some(item) = range.items.into_iter().next() else {
            return Ok(());
        };
        if let Some(plan) = Plan::decode(&item.value) {
            let state = state.ok_or_else(|| Error::new(Kind::EndpointLost, "no state"))?;
            if !state.holds(&plan.change) {
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
        // The number in the store decides: it may be higher than the one learned before the wait.
        self.learn().await?;
        let floor = self.gate.borrow().floor().unwrap_or_default();
        let change = match settlement(&plan.change, plan.fence == floor) {
            Settlement::Leave => return Ok(()),
            Settlement::Finish(change) | Settlement::RollBack(change) => change,
        };
        match self.effect(&change, floor).await.verdict {
            Verdict::Applied => Ok(()),
            Verdict::Refused(kind) | Verdict::Failed(kind) => Err(Error::new(
                kind,
                "the interrupted change could not be settled",
            )),
        }
    }
}
