use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix::{Actor, Addr, Context, Handler};
use futures_util::{FutureExt, future::LocalBoxFuture};
use rand::{SeedableRng, rngs::StdRng};
use tokio::{sync::mpsc, time};

use super::{super::*, document, endpoint, group, report};
use crate::{
    authority::{self, Held},
    clock::System,
    error::{Error, Kind},
    id::{self, Endpoint, Incarnation},
    link,
    membership::{Entry, Hosts, Standing},
    store::{Faults, Memory},
    testing::on_virtual_time,
    wire::{Change, Done, Frame, Order, Verdict},
};

/// An endpoint that leaves gets no new work after this time.
const BOUND: Duration = Duration::from_secs(3);
const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: Duration::ZERO,
};

/// A host list that names one host as leaving, fails, or answers slowly.
#[derive(Debug, Default)]
struct Platform {
    leaving: RefCell<Option<id::Host>>,
    down: Cell<bool>,
    delay: Cell<Duration>,
}

impl Hosts for Platform {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Entry>>> {
        async {
            time::sleep(self.delay.get()).await;
            if self.down.get() {
                return Err(Error::new(Kind::EndpointFailed, "the host list is down"));
            }
            let entry = |host| Entry {
                host,
                zone: "scl-a".parse().expect("valid name"),
                standing: Standing::Leaving,
            };
            Ok(self
                .leaving
                .borrow()
                .clone()
                .into_iter()
                .map(entry)
                .collect())
        }
        .boxed_local()
    }
}

/// Hands orders to the test.
struct Wire {
    orders: mpsc::UnboundedSender<(Endpoint, Order)>,
    linked: Rc<Cell<bool>>,
}

impl Actor for Wire {
    type Context = Context<Self>;
}

impl Handler<link::Send> for Wire {
    type Result = bool;

    fn handle(&mut self, msg: link::Send, _ctx: &mut Self::Context) -> bool {
        if let (true, Frame::Order(order)) = (self.linked.get(), msg.frame) {
            // The test may have ended.
            let _over = self.orders.send((msg.endpoint, order));
        }
        self.linked.get()
    }
}

/// A reconciler that holds the group of the engines, or will.
struct Rig {
    store: Memory,
    hosts: Rc<Platform>,
    linked: Rc<Cell<bool>>,
    authority: Addr<authority::Holder>,
    reconciler: Addr<Reconciler>,
    orders: mpsc::UnboundedReceiver<(Endpoint, Order)>,
}

fn rig(memory: &Memory, seed: u64) -> Rig {
    let store = memory.client();
    let authority = authority::Holder::spawn(authority::Config {
        process: format!("entry-{seed}").parse().expect("valid name"),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(seed)),
        store: Rc::new(store.clone()),
        clock: System::shared(),
    });
    let authority = authority.address;
    authority.do_send(authority::Groups(vec![group("allergen")]));
    let (sender, orders) = mpsc::unbounded_channel();
    let linked = Rc::new(Cell::new(true));
    let wire = Wire {
        orders: sender,
        linked: Rc::clone(&linked),
    };
    let hosts = Rc::<Platform>::default();
    let reconciler = spawn(Config {
        store: Rc::new(store.clone()),
        hosts: Some(Rc::clone(&hosts) as Rc<dyn Hosts>),
        authority: authority.clone(),
        link: wire.start().recipient(),
        clock: System::shared(),
    });
    reconciler.do_send(Adopt(document()));
    Rig {
        store,
        hosts,
        linked,
        authority,
        reconciler,
        orders,
    }
}

/// A reconciler that holds the group and has heard that `allergen-1` serves.
async fn holding() -> Rig {
    let rig = rig(&Memory::new(System::shared()), 1);
    rig.reports(false);
    rig.take_over().await;
    rig
}

impl Rig {
    async fn take_over(&self) {
        while self
            .authority
            .send(Held)
            .await
            .expect("a running holder")
            .is_empty()
        {
            time::sleep(Duration::from_millis(100)).await;
        }
        // The first rounds after that read the intents and the host list.
        time::sleep(Duration::from_secs(1)).await;
    }

    fn reports(&self, leaving: bool) {
        let report = report("allergen-1", leaving, &["allergen"]);
        self.reconciler.do_send(Noticed(report));
    }

    async fn intent(&self, drain: bool) {
        let desired = Desired::new(Rc::new(self.store.client()));
        let set = desired.set(&endpoint("allergen-1"), Intent { drain }).await;
        set.expect("a running store");
    }

    fn answer(&self, order: &Order, verdict: Verdict) {
        let order = order.order;
        self.reconciler.do_send(Finished(Done { order, verdict }));
    }

    /// The next order to `allergen-1` within a period.
    async fn order(&mut self, period: Duration) -> Option<Order> {
        let order = time::timeout(period, self.orders.recv()).await;
        let (to, order) = order.ok()??;
        assert_eq!(to, endpoint("allergen-1"));
        Some(order)
    }
}

fn change(order: Option<&Order>) -> Option<&Change> {
    order.map(|order| &order.change)
}

/// Guards against an endpoint that gets new work long after its drain or the end of its host was
/// announced, and against an order that is given up, or answered as before, after a failure.
#[test]
fn orders_are_sent_until_they_apply() {
    on_virtual_time(async {
        let mut rig = holding().await;
        assert_eq!(rig.order(BOUND).await, None);
        rig.intent(true).await;
        let first = rig.order(BOUND).await.expect("an order in time");
        assert_eq!(first.change, Change::Drain);
        let again = rig
            .order(Duration::from_secs(8))
            .await
            .expect("a second order");
        assert_eq!(again, first, "an unanswered order keeps its id");
        rig.answer(&first, Verdict::Refused(Kind::OrderInProgress));
        rig.reports(false);
        let other = rig.order(BOUND).await.expect("a new order");
        assert_ne!(other.order, first.order, "a refused order is replaced");
        rig.reports(true);
        rig.answer(&other, Verdict::Applied);
        assert_eq!(rig.order(Duration::from_secs(8)).await, None);
        rig.intent(false).await;
        let resumed = rig.order(BOUND).await;
        assert_eq!(change(resumed.as_ref()), Some(&Change::Resume));
        rig.reports(false);
        rig.hosts
            .leaving
            .replace(Some("allergen-host-1".parse().expect("valid name")));
        let leaving = rig.order(BOUND).await;
        assert_eq!(change(leaving.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a drain that waits for a host list that answers slowly or not at all.
#[test]
fn slow_host_list_delays_no_drain() {
    on_virtual_time(async {
        let mut rig = holding().await;
        rig.hosts.down.set(true);
        rig.hosts.delay.set(Duration::from_secs(2));
        for step in 0..10 {
            time::sleep(Duration::from_millis(300 * step)).await;
            rig.intent(true).await;
            let order = rig.order(BOUND).await;
            assert_eq!(change(order.as_ref()), Some(&Change::Drain), "step {step}");
            rig.intent(false).await;
            time::sleep(Duration::from_secs(6)).await;
            while rig.orders.try_recv().is_ok() {}
        }
    });
}

/// Guards against an order that was never sent, because the link was down, and that counts as sent.
#[test]
fn order_without_link_is_sent_when_the_link_returns() {
    on_virtual_time(async {
        let mut rig = holding().await;
        rig.linked.set(false);
        rig.intent(true).await;
        assert_eq!(rig.order(Duration::from_secs(1)).await, None);
        rig.linked.set(true);
        let order = rig.order(BOUND).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a second order, with another id, that follows from a report older than the
/// answer to the first one.
#[test]
fn applied_order_is_not_repeated_before_the_next_report() {
    on_virtual_time(async {
        let mut rig = holding().await;
        rig.intent(true).await;
        let order = rig.order(BOUND).await.expect("an order in time");
        rig.answer(&order, Verdict::Applied);
        assert_eq!(rig.order(Duration::from_secs(2)).await, None);
        rig.reports(true);
        assert_eq!(rig.order(Duration::from_secs(2)).await, None);
        // The agent was restarted and knows nothing of the drain.
        rig.reports(false);
        let order = rig.order(BOUND).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a new holder that lets an endpoint take work again because it could not yet read
/// why the endpoint was drained.
#[test]
fn nothing_is_resumed_before_all_reasons_are_known() {
    on_virtual_time(async {
        let memory = Memory::new(System::shared());
        let mut rig = rig(&memory, 1);
        rig.hosts
            .leaving
            .replace(Some("allergen-host-1".parse().expect("valid name")));
        rig.hosts.down.set(true);
        rig.reports(true);
        rig.take_over().await;
        assert_eq!(rig.order(Duration::from_secs(8)).await, None);
        rig.hosts.leaving.replace(None);
        rig.hosts.down.set(false);
        let order = rig.order(BOUND).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Resume));
    });
}

/// Guards against an intent that is forgotten while the store is down, and against orders from a
/// holder whose authority has lapsed.
#[test]
fn outage_keeps_wishes_and_ends_authority() {
    on_virtual_time(async {
        let mut rig = holding().await;
        rig.intent(true).await;
        let order = rig.order(BOUND).await.expect("an order in time");
        rig.reports(true);
        rig.answer(&order, Verdict::Applied);
        time::sleep(Duration::from_secs(1)).await;
        rig.store.set_faults(DOWN);
        rig.reports(false);
        let during = rig.order(BOUND).await;
        assert_eq!(change(during.as_ref()), Some(&Change::Drain));
        time::sleep(Duration::from_secs(6)).await;
        while rig.orders.try_recv().is_ok() {}
        assert!(
            rig.authority
                .send(Held)
                .await
                .expect("a running holder")
                .is_empty()
        );
        assert_eq!(rig.order(Duration::from_secs(20)).await, None);
    });
}

/// Guards against an intent that is lost with the entry that received it.
#[test]
fn wish_outlives_the_entry() {
    on_virtual_time(async {
        let memory = Memory::new(System::shared());
        let first = rig(&memory, 1);
        first.take_over().await;
        first.intent(true).await;
        first.store.set_faults(DOWN);
        let mut second = rig(&memory, 2);
        second.reports(false);
        second.take_over().await;
        let order = second.order(BOUND).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}
