use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::Addr;
use futures_util::FutureExt;
use tokio::time;

use super::*;
use crate::{
    clock::{self, Manual, System},
    error::{Error, Kind},
    id::{Fence, Incarnation},
    store::{Faults, Memory, Path, Reader, Store, Txn, Write},
    wire::{Change, Done, Order, Role, Verdict},
};

/// Endpoint that records the changes it is asked to apply.
#[derive(Debug, Default)]
struct FakeEndpoint {
    state: RefCell<State>,
    effects: RefCell<Vec<String>>,
    fail: Cell<bool>,
    delay: Cell<Duration>,
}

impl Control for FakeEndpoint {
    fn state(&self) -> Future<'_, State> {
        async { Ok(self.state.borrow().clone()) }.boxed_local()
    }

    fn apply(&self, change: Change, fence: Fence) -> Future<'_, ()> {
        async move {
            self.effects.borrow_mut().push(format!("{change:?}"));
            self.state.borrow_mut().changing = true;
            time::sleep(self.delay.get()).await;
            let mut state = self.state.borrow_mut();
            state.changing = false;
            match &change {
                Change::Role(role) => state.role = *role,
                Change::Drain => state.draining = true,
                _ => {}
            }
            if self.fail.get() {
                return Err(Error::new(Kind::EndpointLost, format!("{fence}")));
            }
            Ok(())
        }
        .boxed_local()
    }
}

/// One endpoint, its store, and the fencing number of the current holder.
struct Fixture {
    store: Memory,
    endpoint: Rc<FakeEndpoint>,
    fence: Cell<u64>,
}

impl Fixture {
    async fn new() -> Self {
        let fixture = Self {
            store: Memory::new(System::shared()),
            endpoint: Rc::default(),
            fence: Cell::new(0),
        };
        fixture.change_holder().await;
        fixture
    }

    /// Lets a new holder create the group key.
    async fn change_holder(&self) {
        let group_key = path("/mulberrymill/authority/answer");
        commit(&self.store, Write::Delete(group_key.clone())).await;
        self.fence
            .set(commit(&self.store, Write::Put(group_key, vec![], None)).await);
    }

    async fn gate(&self, incarnation: u64) -> Addr<GateActor> {
        self.gate_with(incarnation, System::shared()).await
    }

    async fn gate_with(&self, incarnation: u64, clock: clock::Shared) -> Addr<GateActor> {
        let gate = spawn(Config {
            store: Rc::new(self.store.clone()),
            control: Rc::clone(&self.endpoint) as Rc<dyn Control>,
            clock,
            incarnation: Incarnation::from_bytes(incarnation.to_be_bytes()),
            endpoint: "engine-1".parse().expect("valid name"),
            group: "answer".parse().expect("valid name"),
        })
        .expect("valid names");
        time::sleep(Duration::from_millis(1)).await;
        gate
    }

    fn order(&self, number: u32, change: Change) -> Apply {
        Apply(Order {
            order: format!("{number:032x}").parse().expect("valid id"),
            group: "answer".parse().expect("valid name"),
            fence: Fence::new(self.fence.get()),
            change,
        })
    }

    fn effects(&self) -> Vec<String> {
        self.endpoint.effects.borrow().clone()
    }
}

fn path(text: &str) -> Path {
    text.parse().expect("valid key")
}

async fn commit(store: &Memory, write: Write) -> u64 {
    let txn = Txn {
        compares: vec![],
        writes: vec![write],
    };
    store.commit(txn).await.expect("store is up").revision.get()
}

async fn apply(gate: &Addr<GateActor>, order: Apply) -> Verdict {
    let Done { verdict, .. } = gate.send(order).await.expect("gate runs");
    verdict
}

const PREFILL: Change = Change::Role(Role::Prefill);
const DECODE: Change = Change::Role(Role::Decode);

/// Guards against an order of a former holder that takes effect: when only the store has the newer
/// fencing number, when the gate has it too, and after a restart of the agent.
#[actix::test]
async fn order_of_former_holder_has_no_effect() {
    time::pause();
    let fixture = Fixture::new().await;
    let old = fixture.order(1, PREFILL);
    let late = fixture.order(2, PREFILL);
    let gate = fixture.gate(1).await;
    fixture.change_holder().await;
    let mut verdicts = vec![apply(&gate, old).await];
    verdicts.push(apply(&gate, fixture.order(3, DECODE)).await);
    verdicts.push(apply(&gate, late.clone()).await);
    gate.do_send(Stop);
    let gate = fixture.gate(2).await;
    verdicts.push(apply(&gate, late).await);
    insta::assert_debug_snapshot!((verdicts, fixture.effects()), @r#"
    (
        [
            Refused(
                StaleFence,
            ),
            Applied,
            Refused(
                StaleFence,
            ),
            Refused(
                StaleFence,
            ),
        ],
        [
            "Role(Decode)",
        ],
    )
    "#);
}

/// Guards against two changes at the same time, against a repeated order that takes effect twice,
/// and against a refused order that takes effect when a copy of it arrives later.
#[actix::test]
async fn one_order_at_a_time() {
    time::pause();
    let fixture = Fixture::new().await;
    fixture.endpoint.delay.set(Duration::from_secs(3));
    let gate = fixture.gate(1).await;
    let (first, copy, other) = tokio::join!(
        apply(&gate, fixture.order(1, PREFILL)),
        apply(&gate, fixture.order(1, PREFILL)),
        apply(&gate, fixture.order(2, DECODE)),
    );
    let late = apply(&gate, fixture.order(1, PREFILL)).await;
    let refused = apply(&gate, fixture.order(2, DECODE)).await;
    insta::assert_compact_debug_snapshot!(
        (first, copy, other, late, refused, fixture.effects()),
        @r#"(Applied, Applied, Refused(OrderInProgress), Applied, Refused(OrderInProgress), ["Role(Prefill)"])"#
    );
}

/// Guards against an error of the endpoint that counts as a failed change although the change is in
/// effect, and against a change that never ends and does not block the next order.
#[actix::test]
async fn verdict_of_failed_change_follows_from_state() {
    time::pause();
    let fixture = Fixture::new().await;
    fixture.endpoint.fail.set(true);
    let gate = fixture.gate(1).await;
    let applied = apply(&gate, fixture.order(1, PREFILL)).await;
    let model = "m".parse().expect("valid name");
    let failed = apply(&gate, fixture.order(2, Change::Load(model))).await;
    fixture.endpoint.delay.set(Duration::from_mins(10));
    let stuck = apply(&gate, fixture.order(3, DECODE)).await;
    let next = apply(&gate, fixture.order(4, DECODE)).await;
    insta::assert_compact_debug_snapshot!(
        (applied, failed, stuck, next),
        @"(Applied, Failed(EndpointLost), Failed(Deadline), Refused(OrderInProgress))"
    );
}

/// Guards against a change that is applied without a plan in the store, and against a plan that is
/// left behind: the store is down, or loses one answer, or two in a row.
#[actix::test]
async fn plan_survives_store_faults() {
    time::pause();
    let fixture = Fixture::new().await;
    let gate = fixture.gate(1).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    fixture.store.set_faults(down);
    let refused = apply(&gate, fixture.order(1, PREFILL)).await;
    let lost = |lose_answers| Faults {
        lose_answers,
        ..Faults::default()
    };
    fixture.store.set_faults(lost(1));
    let once = apply(&gate, fixture.order(2, PREFILL)).await;
    fixture.store.set_faults(lost(2));
    let twice = apply(&gate, fixture.order(3, DECODE)).await;
    let plan = fixture.store.get(path("/mulberrymill/plan/engine-1")).await;
    let left = plan.expect("store is up").items.len();
    insta::assert_compact_debug_snapshot!(
        (refused, once, twice, left, fixture.effects()),
        @r#"(Refused(StoreUnavailable), Applied, Applied, 0, ["Role(Prefill)", "Role(Decode)"])"#
    );
}

/// Guards against an interrupted order that stays unfinished, and against a restarted agent that
/// accepts orders while the endpoint still applies the interrupted change.
#[actix::test]
async fn restarted_agent_settles_interrupted_order() {
    time::pause();
    let fixture = Fixture::new().await;
    let gate = fixture.gate(1).await;
    fixture.endpoint.delay.set(Duration::from_secs(20));
    gate.do_send(fixture.order(1, Change::Drain));
    time::sleep(Duration::from_secs(1)).await;
    gate.do_send(Stop);
    let gate = fixture.gate(2).await;
    let early = apply(&gate, fixture.order(2, PREFILL)).await;
    fixture.endpoint.state.borrow_mut().changing = false;
    time::sleep(Duration::from_secs(25)).await;
    let later = apply(&gate, fixture.order(3, PREFILL)).await;
    insta::assert_compact_debug_snapshot!(
        (early, later, fixture.endpoint.state.borrow().draining, fixture.effects()),
        @r#"(Refused(OrderInProgress), Applied, true, ["Drain", "Drain", "Role(Prefill)"])"#
    );
}

/// Guards against an agent that is paused between the check of the fencing number and the change,
/// and applies the change although another process may hold the group by then.
#[actix::test]
async fn paused_agent_applies_no_change() {
    time::pause();
    let fixture = Fixture::new().await;
    let clock = Manual::new();
    let gate = fixture.gate_with(1, Arc::new(clock.clone())).await;
    fixture.store.set_faults(Faults {
        delay: Duration::from_secs(1),
        ..Faults::default()
    });
    let pause = async {
        time::sleep(Duration::from_millis(700)).await;
        clock.advance(Duration::from_secs(7));
    };
    let (verdict, ()) = tokio::join!(apply(&gate, fixture.order(1, PREFILL)), pause);
    insta::assert_compact_debug_snapshot!(
        (verdict, fixture.effects()),
        @"(Refused(StaleFence), [])"
    );
}
