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
    authority::{self, GetHeldGroups},
    clock::System,
    error::{Error, Kind},
    id::{self, Endpoint, Incarnation},
    link,
    membership::{HostEntry, HostSource, HostState},
    store::{Faults, Memory},
    testing::with_paused_time,
    wire::{Change, Done, Frame, Order, Verdict},
};

/// Longest time from an intent or a leaving host to the order that follows from it.
const ORDER_DELAY_MAX: Duration = Duration::from_secs(3);
const STORE_DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: Duration::ZERO,
};

/// Host list that marks at most one host as leaving, and can fail or answer slowly.
#[derive(Debug, Default)]
struct FakeHosts {
    leaving: RefCell<Option<id::Host>>,
    down: Cell<bool>,
    delay: Cell<Duration>,
}

impl HostSource for FakeHosts {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>>> {
        async {
            time::sleep(self.delay.get()).await;
            if self.down.get() {
                return Err(Error::new(Kind::EndpointFailed, "the host list is down"));
            }
            let entry = |host| HostEntry {
                host,
                zone: "scl-a".parse().expect("valid name"),
                state: HostState::Leaving,
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

/// Link that passes orders to the test while `linked` is set.
struct FakeLink {
    orders: mpsc::UnboundedSender<(Endpoint, Order)>,
    linked: Rc<Cell<bool>>,
}

impl Actor for FakeLink {
    type Context = Context<Self>;
}

impl Handler<link::SendFrame> for FakeLink {
    type Result = bool;

    fn handle(&mut self, msg: link::SendFrame, _ctx: &mut Self::Context) -> bool {
        if let (true, Frame::Order(order)) = (self.linked.get(), msg.frame) {
            // The receiver is gone if the test has ended.
            let _closed = self.orders.send((msg.endpoint, order));
        }
        self.linked.get()
    }
}

/// A reconciler with a holder that competes for the group of the engines, and its stand-ins.
struct Fixture {
    store: Memory,
    hosts: Rc<FakeHosts>,
    linked: Rc<Cell<bool>>,
    authority: Addr<authority::Holder>,
    reconciler: Addr<Reconciler>,
    orders: mpsc::UnboundedReceiver<(Endpoint, Order)>,
}

fn fixture(memory: &Memory, seed: u64) -> Fixture {
    let store = memory.client();
    let authority = authority::Holder::spawn(authority::Config {
        process: format!("entry-{seed}").parse().expect("valid name"),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(seed)),
        store: Rc::new(store.clone()),
        clock: System::shared(),
        timing: authority::Timing::default(),
    });
    let authority = authority.address;
    authority.do_send(authority::SetGroups(vec![group("allergen")]));
    let (sender, orders) = mpsc::unbounded_channel();
    let linked = Rc::new(Cell::new(true));
    let fake_link = FakeLink {
        orders: sender,
        linked: Rc::clone(&linked),
    };
    let hosts = Rc::<FakeHosts>::default();
    let reconciler = spawn(Config {
        store: Rc::new(store.clone()),
        hosts: Some(Rc::clone(&hosts) as Rc<dyn HostSource>),
        authority: authority.clone(),
        link: fake_link.start().recipient(),
        clock: System::shared(),
    });
    reconciler.do_send(SetDocument(document()));
    Fixture {
        store,
        hosts,
        linked,
        authority,
        reconciler,
        orders,
    }
}

/// A fixture that holds the group and has a report that `allergen-1` takes work.
async fn holding_fixture() -> Fixture {
    let fixture = fixture(&Memory::new(System::shared()), 1);
    fixture.report(false);
    fixture.wait_for_authority().await;
    fixture
}

impl Fixture {
    async fn wait_for_authority(&self) {
        while self
            .authority
            .send(GetHeldGroups)
            .await
            .expect("a running holder")
            .is_empty()
        {
            time::sleep(Duration::from_millis(100)).await;
        }
        // Leaves time for the first rounds, which read the intents and the host list.
        time::sleep(Duration::from_secs(1)).await;
    }

    fn report(&self, leaving: bool) {
        let report = report("allergen-1", leaving, &["allergen"]);
        self.reconciler.do_send(ReportReceived(report));
    }

    async fn set_intent(&self, drain: bool) {
        let desired = Desired::new(Rc::new(self.store.client()));
        let set = desired.set(&endpoint("allergen-1"), Intent { drain }).await;
        set.expect("a running store");
    }

    fn answer(&self, order: &Order, verdict: Verdict) {
        let order = order.order;
        self.reconciler
            .do_send(OrderAnswered(Done { order, verdict }));
    }

    /// Next order to `allergen-1` within a period.
    async fn next_order(&mut self, period: Duration) -> Option<Order> {
        let order = time::timeout(period, self.orders.recv()).await;
        let (to, order) = order.ok()??;
        assert_eq!(to, endpoint("allergen-1"));
        Some(order)
    }
}

fn change(order: Option<&Order>) -> Option<&Change> {
    order.map(|order| &order.change)
}

/// Guards against a drain order that comes too late after an intent or a leaving host, against an
/// unanswered order that is not sent again, and against a refused order that keeps its id, for
/// which the agent would repeat the refusal.
#[test]
fn orders_are_sent_until_they_are_applied() {
    with_paused_time(async {
        let mut fixture = holding_fixture().await;
        assert_eq!(fixture.next_order(ORDER_DELAY_MAX).await, None);
        fixture.set_intent(true).await;
        let first = fixture
            .next_order(ORDER_DELAY_MAX)
            .await
            .expect("an order in time");
        assert_eq!(first.change, Change::Drain);
        let again = fixture
            .next_order(Duration::from_secs(8))
            .await
            .expect("a second order");
        assert_eq!(again, first, "an unanswered order keeps its id");
        fixture.answer(&first, Verdict::Refused(Kind::OrderInProgress));
        fixture.report(false);
        let other = fixture
            .next_order(ORDER_DELAY_MAX)
            .await
            .expect("a new order");
        assert_ne!(other.order, first.order, "a refused order is replaced");
        fixture.report(true);
        fixture.answer(&other, Verdict::Applied);
        assert_eq!(fixture.next_order(Duration::from_secs(8)).await, None);
        fixture.set_intent(false).await;
        let resumed = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(resumed.as_ref()), Some(&Change::Resume));
        fixture.report(false);
        fixture
            .hosts
            .leaving
            .replace(Some("allergen-host-1".parse().expect("valid name")));
        let leaving = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(leaving.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a drain that waits for a host list that is slow and fails.
#[test]
fn slow_host_list_does_not_delay_a_drain() {
    with_paused_time(async {
        let mut fixture = holding_fixture().await;
        fixture.hosts.down.set(true);
        fixture.hosts.delay.set(Duration::from_secs(2));
        for step in 0..10 {
            time::sleep(Duration::from_millis(300 * step)).await;
            fixture.set_intent(true).await;
            let order = fixture.next_order(ORDER_DELAY_MAX).await;
            assert_eq!(change(order.as_ref()), Some(&Change::Drain), "step {step}");
            fixture.set_intent(false).await;
            time::sleep(Duration::from_secs(6)).await;
            while fixture.orders.try_recv().is_ok() {}
        }
    });
}

/// Guards against an order that counts as sent although the link was down.
#[test]
fn order_is_sent_when_the_link_is_up_again() {
    with_paused_time(async {
        let mut fixture = holding_fixture().await;
        fixture.linked.set(false);
        fixture.set_intent(true).await;
        assert_eq!(fixture.next_order(Duration::from_secs(1)).await, None);
        fixture.linked.set(true);
        let order = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a second order with another id that is planned from a report older than the
/// answer to the first one.
#[test]
fn applied_order_is_not_repeated_before_the_next_report() {
    with_paused_time(async {
        let mut fixture = holding_fixture().await;
        fixture.set_intent(true).await;
        let order = fixture
            .next_order(ORDER_DELAY_MAX)
            .await
            .expect("an order in time");
        fixture.answer(&order, Verdict::Applied);
        assert_eq!(fixture.next_order(Duration::from_secs(2)).await, None);
        fixture.report(true);
        assert_eq!(fixture.next_order(Duration::from_secs(2)).await, None);
        // The agent was restarted and has lost the drain.
        fixture.report(false);
        let order = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}

/// Guards against a new holder that resumes an endpoint because it could not read yet why the
/// endpoint was drained.
#[test]
fn nothing_is_resumed_before_intents_and_hosts_are_read() {
    with_paused_time(async {
        let memory = Memory::new(System::shared());
        let mut fixture = fixture(&memory, 1);
        fixture
            .hosts
            .leaving
            .replace(Some("allergen-host-1".parse().expect("valid name")));
        fixture.hosts.down.set(true);
        fixture.report(true);
        fixture.wait_for_authority().await;
        assert_eq!(fixture.next_order(Duration::from_secs(8)).await, None);
        fixture.hosts.leaving.replace(None);
        fixture.hosts.down.set(false);
        let order = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Resume));
    });
}

/// Guards against an intent that is lost while the store is down, and against orders from a holder
/// whose authority has expired.
#[test]
fn store_outage_keeps_intents_and_ends_authority() {
    with_paused_time(async {
        let mut fixture = holding_fixture().await;
        fixture.set_intent(true).await;
        let order = fixture
            .next_order(ORDER_DELAY_MAX)
            .await
            .expect("an order in time");
        fixture.report(true);
        fixture.answer(&order, Verdict::Applied);
        time::sleep(Duration::from_secs(1)).await;
        fixture.store.set_faults(STORE_DOWN);
        fixture.report(false);
        let during = fixture.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(during.as_ref()), Some(&Change::Drain));
        time::sleep(Duration::from_secs(6)).await;
        while fixture.orders.try_recv().is_ok() {}
        assert!(
            fixture
                .authority
                .send(GetHeldGroups)
                .await
                .expect("a running holder")
                .is_empty()
        );
        assert_eq!(fixture.next_order(Duration::from_secs(20)).await, None);
    });
}

/// Guards against an intent that is lost with the entry that received it.
#[test]
fn intent_outlives_the_entry() {
    with_paused_time(async {
        let memory = Memory::new(System::shared());
        let first = fixture(&memory, 1);
        first.wait_for_authority().await;
        first.set_intent(true).await;
        first.store.set_faults(STORE_DOWN);
        let mut second = fixture(&memory, 2);
        second.report(false);
        second.wait_for_authority().await;
        let order = second.next_order(ORDER_DELAY_MAX).await;
        assert_eq!(change(order.as_ref()), Some(&Change::Drain));
    });
}
