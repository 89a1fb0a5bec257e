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

/// An endpoint that records what reaches it.
#[derive(Debug, Default)]
struct Fake {
    state: RefCell<State>,
    effects: RefCell<Vec<String>>,
    fail: Cell<bool>,
    delay: Cell<Duration>,
}

impl Control for Fake {
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

/// One endpoint, its store, and gates of successive agents.
struct Bench {
    store: Memory,
    fake: Rc<Fake>,
    fence: Cell<u64>,
}

impl Bench {
    async fn new() -> Self {
        let bench = Self {
            store: Memory::new(System::shared()),
            fake: Rc::default(),
            fence: Cell::new(0),
        };
        bench.take_lease().await;
        bench
    }

    /// A new holder takes the lease.
    async fn take_lease(&self) {
        let lease = path("/mulberrymill/authority/answer");
        commit(&self.store, Write::Delete(lease.clone())).await;
        self.fence
            .set(commit(&self.store, Write::Put(lease, vec![], None)).await);
    }

    async fn gate(&self, run: u64) -> Addr<Task> {
        self.gate_with(run, System::shared()).await
    }

    async fn gate_with(&self, run: u64, clock: clock::Shared) -> Addr<Task> {
        let gate = spawn(Config {
            store: Rc::new(self.store.clone()),
            control: Rc::clone(&self.fake) as Rc<dyn Control>,
            clock,
            incarnation: Incarnation::from_bytes(run.to_be_bytes()),
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
        self.fake.effects.borrow().clone()
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

async fn ask(gate: &Addr<Task>, order: Apply) -> Verdict {
    let Done { verdict, .. } = gate.send(order).await.expect("gate runs");
    verdict
}

const PREFILL: Change = Change::Role(Role::Prefill);
const DECODE: Change = Change::Role(Role::Decode);

/// Guards against effects of a former holder, both when the gate knows the newer number and when
/// only the store does, and against a fencing number that is lost with a restart.
#[actix::test]
async fn former_holder_has_no_effect() {
    time::pause();
    let bench = Bench::new().await;
    let old = bench.order(1, PREFILL);
    let late = bench.order(2, PREFILL);
    let gate = bench.gate(1).await;
    bench.take_lease().await;
    let mut verdicts = vec![ask(&gate, old).await];
    verdicts.push(ask(&gate, bench.order(3, DECODE)).await);
    verdicts.push(ask(&gate, late.clone()).await);
    gate.do_send(Stop);
    let gate = bench.gate(2).await;
    verdicts.push(ask(&gate, late).await);
    insta::assert_debug_snapshot!((verdicts, bench.effects()), @r#"
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

/// Guards against two changes at once, against a second effect of a repeated order, and against a
/// refused order that takes effect when its copy arrives later.
#[actix::test]
async fn one_order_at_a_time() {
    time::pause();
    let bench = Bench::new().await;
    bench.fake.delay.set(Duration::from_secs(3));
    let gate = bench.gate(1).await;
    let (first, copy, other) = tokio::join!(
        ask(&gate, bench.order(1, PREFILL)),
        ask(&gate, bench.order(1, PREFILL)),
        ask(&gate, bench.order(2, DECODE)),
    );
    let late = ask(&gate, bench.order(1, PREFILL)).await;
    let refused = ask(&gate, bench.order(2, DECODE)).await;
    insta::assert_compact_debug_snapshot!(
        (first, copy, other, late, refused, bench.effects()),
        @r#"(Applied, Applied, Refused(OrderInProgress), Applied, Refused(OrderInProgress), ["Role(Prefill)"])"#
    );
}

/// Guards against an endpoint whose error is taken for its state, and against a change that never
/// ends and leaves the gate open for the next one.
#[actix::test]
async fn failed_effect_ends_in_known_state() {
    time::pause();
    let bench = Bench::new().await;
    bench.fake.fail.set(true);
    let gate = bench.gate(1).await;
    let applied = ask(&gate, bench.order(1, PREFILL)).await;
    let model = "m".parse().expect("valid name");
    let failed = ask(&gate, bench.order(2, Change::Load(model))).await;
    bench.fake.delay.set(Duration::from_mins(10));
    let stuck = ask(&gate, bench.order(3, DECODE)).await;
    let next = ask(&gate, bench.order(4, DECODE)).await;
    insta::assert_compact_debug_snapshot!(
        (applied, failed, stuck, next),
        @"(Applied, Failed(EndpointLost), Failed(Deadline), Refused(OrderInProgress))"
    );
}

/// Guards against an order whose effect is unplanned: the store is down, or loses the answer of
/// the plan, or loses it twice in a row.
#[actix::test]
async fn plan_survives_store_faults() {
    time::pause();
    let bench = Bench::new().await;
    let gate = bench.gate(1).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    bench.store.set_faults(down);
    let refused = ask(&gate, bench.order(1, PREFILL)).await;
    let lost = |lose_answers| Faults {
        lose_answers,
        ..Faults::default()
    };
    bench.store.set_faults(lost(1));
    let once = ask(&gate, bench.order(2, PREFILL)).await;
    bench.store.set_faults(lost(2));
    let twice = ask(&gate, bench.order(3, DECODE)).await;
    let plan = bench.store.get(path("/mulberrymill/plan/engine-1")).await;
    let left = plan.expect("store is up").items.len();
    insta::assert_compact_debug_snapshot!(
        (refused, once, twice, left, bench.effects()),
        @r#"(Refused(StoreUnavailable), Applied, Applied, 0, ["Role(Prefill)", "Role(Decode)"])"#
    );
}

/// Guards against an interrupted order that stays half done, and against a successor that changes
/// the endpoint while the interrupted change still runs.
#[actix::test]
async fn successor_settles_interrupted_order() {
    time::pause();
    let bench = Bench::new().await;
    let gate = bench.gate(1).await;
    bench.fake.delay.set(Duration::from_secs(20));
    gate.do_send(bench.order(1, Change::Drain));
    time::sleep(Duration::from_secs(1)).await;
    gate.do_send(Stop);
    let gate = bench.gate(2).await;
    let early = ask(&gate, bench.order(2, PREFILL)).await;
    bench.fake.state.borrow_mut().changing = false;
    time::sleep(Duration::from_secs(25)).await;
    let later = ask(&gate, bench.order(3, PREFILL)).await;
    insta::assert_compact_debug_snapshot!(
        (early, later, bench.fake.state.borrow().draining, bench.effects()),
        @r#"(Refused(OrderInProgress), Applied, true, ["Drain", "Drain", "Role(Prefill)"])"#
    );
}

/// Guards against an effect of an agent that was frozen between the check of the fencing number
/// and the effect, when the lease may have changed hands meanwhile.
#[actix::test]
async fn frozen_agent_has_no_effect() {
    time::pause();
    let bench = Bench::new().await;
    let clock = Manual::new();
    let gate = bench.gate_with(1, Arc::new(clock.clone())).await;
    bench.store.set_faults(Faults {
        delay: Duration::from_secs(1),
        ..Faults::default()
    });
    let freeze = async {
        time::sleep(Duration::from_millis(700)).await;
        clock.advance(Duration::from_secs(7));
    };
    let (verdict, ()) = tokio::join!(ask(&gate, bench.order(1, PREFILL)), freeze);
    insta::assert_compact_debug_snapshot!(
        (verdict, bench.effects()),
        @"(Refused(StaleFence), [])"
    );
}
