use std::{cell::Cell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use tokio::{sync::watch, time};

use super::*;
use crate::{
    clock::{Clock as _, System},
    directory::{Instance, Stage, Update},
    dispatch::{self, Choose, Demand, Dispatcher, Ending, Need, SetInstances, SetMemory, Ticket},
    id::{Endpoint, Incarnation, Process, Revision},
    link::{BoundListener, Identity, Session},
    route::Version,
    store::{Change, Event, Item, Memory, Path, Reader as _},
    testing::with_paused_time,
    unit::Tokens,
};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Polls after which a wait for a condition fails.
const POLLS_MAX: usize = 500;

fn process(name: &str) -> Process {
    name.parse().expect("a valid name")
}

fn path(name: &str) -> Path {
    format!("/gateways/{name}").parse().expect("a valid path")
}

fn item(name: &str, value: &str) -> Item {
    Item {
        path: path(name),
        value: value.as_bytes().to_vec(),
        created: Revision::new(1),
        modified: Revision::new(1),
    }
}

fn roster(count: usize) -> (Roster, Vec<Process>) {
    let names: Vec<String> = (0..count).map(|number| format!("g{number}")).collect();
    let items = names.iter().map(|name| item(name, "127.0.0.1:7380"));
    let mut roster = Roster::new();
    roster.apply(Update::Snapshot(items.collect()));
    let processes = names.iter().map(|name| process(name));
    (roster, processes.collect())
}

/// Guards against a pair of gateways of which only one considers the other a neighbor, and against
/// a number of links that grows with the number of gateways.
#[test]
fn neighbors_are_mutual_and_bounded() {
    let mut counts = Vec::new();
    for count in [1, 2, 5, 25, 26, 300] {
        let (roster, processes) = roster(count);
        let mut sizes = BTreeSet::new();
        for own in &processes {
            let neighbors = roster.neighbors(own);
            assert!(!neighbors.contains_key(own), "{own} is linked with itself");
            for other in neighbors.keys() {
                let back = roster.neighbors(other);
                assert!(back.contains_key(own), "{own} is not a neighbor of {other}");
            }
            sizes.insert(neighbors.len());
        }
        counts.push((count, sizes));
    }
    insta::assert_debug_snapshot!(counts);
}

/// Guards against three faults: a gateway that is not registered itself has neighbors, a gateway
/// remains a neighbor after its entry was deleted, and an entry without a valid address is used.
#[test]
fn neighbors_are_registered_gateways_with_a_valid_address() {
    let mut roster = Roster::new();
    let own = process("a");
    let mut seen = Vec::new();
    let mut note = |roster: &Roster, what: &str| {
        let neighbors = roster.neighbors(&own).into_iter();
        let neighbors: Vec<String> = neighbors
            .map(|(process, address)| format!("{process} at {address}"))
            .collect();
        seen.push((what.to_owned(), neighbors, roster.count_others(&own)));
    };
    let event = |name: &str, change| {
        Update::Changes(vec![Event {
            path: path(name),
            change,
            revision: Revision::new(2),
        }])
    };
    roster.apply(Update::Snapshot(vec![item("b", "127.0.0.1:1")]));
    note(&roster, "own entry is missing");
    roster.apply(event("a", Change::Put(b"127.0.0.1:2".to_vec())));
    note(&roster, "own entry was written");
    roster.apply(event("c", Change::Put(b"{}".to_vec())));
    note(&roster, "entry without an address");
    roster.apply(event("b", Change::Put(b"127.0.0.1:3".to_vec())));
    note(&roster, "another address");
    roster.apply(event("b", Change::Delete));
    note(&roster, "the other has left");
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a gateway that does not register again after its lease has expired in an outage,
/// and against an entry that remains after the gateway has deregistered in a graceful shutdown.
#[test]
fn entry_is_restored_after_an_outage_and_removed_on_stop() {
    let entry_counts = with_paused_time(async {
        let store = Memory::new(System::shared());
        let count_entries = || async {
            let range = store.range(path("a")).await.expect("the store is up");
            range.items.len()
        };
        let mut counts = vec![("before", count_entries().await)];
        let presence =
            Presence::register(Rc::new(store.client()), path("a"), b"127.0.0.1:1".to_vec());
        time::sleep(Duration::from_secs(1)).await;
        counts.push(("registered", count_entries().await));
        time::sleep(Duration::from_mins(1)).await;
        counts.push(("a minute later", count_entries().await));
        store.set_faults(crate::store::Faults {
            down: true,
            ..Default::default()
        });
        time::sleep(Duration::from_secs(30)).await;
        store.set_faults(crate::store::Faults::default());
        time::sleep(Duration::from_secs(3)).await;
        counts.push(("after an outage", count_entries().await));
        presence.deregister().await;
        counts.push(("deregistered", count_entries().await));
        counts
    });
    insta::assert_debug_snapshot!(entry_counts);
}

/// Guards against a gateway that is unknown to its peers until the next renewal because the store was
/// restored from a copy of before its registration, and against one that deletes the entry of the
/// process whose lease has the same number in the new era.
#[test]
fn entry_is_created_again_at_once_after_a_restore() {
    let seen = with_paused_time(async {
        let store = Memory::new(System::shared());
        let entries = || async {
            let range = store
                .range("/gateways".parse().expect("a valid path"))
                .await;
            let items = range.expect("the store is up").items.into_iter();
            items.map(|item| item.path.to_string()).collect::<Vec<_>>()
        };
        let register = |name: &str| {
            Presence::register(Rc::new(store.client()), path(name), b"127.0.0.1:1".to_vec())
        };
        let empty = store.back_up();
        let first = register("a");
        time::sleep(Duration::from_secs(1)).await;
        store.restore(empty.clone());
        let mut seen = vec![("restored", entries().await)];
        time::sleep(Duration::from_millis(600)).await;
        seen.push(("600 ms later", entries().await));
        store.restore(empty);
        let second = register("b");
        time::sleep(Duration::from_millis(1)).await;
        first.deregister().await;
        seen.push(("the first deregisters", entries().await));
        time::sleep(Duration::from_mins(1)).await;
        seen.push(("a minute later", entries().await));
        drop(second);
        seen
    });
    insta::assert_debug_snapshot!(seen);
}

struct Gateway {
    name: Process,
    dispatcher: actix::Addr<Dispatcher>,
    mesh: actix::Addr<Mesh>,
    listener: crate::link::Listener,
}

async fn gateway(name: &str) -> Gateway {
    gateway_with_plan(name, None).await
}

async fn gateway_with_plan(name: &str, plan: Option<Rc<dyn SharedPlan>>) -> Gateway {
    let clock = System::shared();
    let zone: crate::id::Zone = "a".parse().expect("a valid name");
    let dispatcher = dispatch::spawn(dispatch::Config::new(Arc::clone(&clock), zone.clone()));
    let engine = Instance {
        id: "e1".parse().expect("a valid name"),
        service: "lm".parse().expect("a valid name"),
        address: "127.0.0.1:9001".parse().expect("an address"),
        zone: zone.clone(),
        slots: 4,
        draining: false,
        stage: Some(Stage::Decode),
        started: None,
    };
    dispatcher.do_send(SetInstances(vec![Arc::new(engine)]));
    let identity = Identity {
        process: process(name),
        incarnation: Incarnation::from_bytes([1; 8]),
        zone,
        revision: watch::Sender::new(Revision::default()).subscribe(),
    };
    let loopback = "127.0.0.1:0".parse().expect("an address");
    let port = BoundListener::bind(loopback).await.expect("a free port");
    let mut config = Config::new(
        identity,
        clock,
        Recipients::from(&dispatcher),
        watch::Sender::new(None).subscribe(),
    );
    if let Some(plan) = plan {
        config = config.with_plan(plan);
    }
    let (mesh, listener) = spawn(config, port);
    Gateway {
        name: process(name),
        dispatcher,
        mesh,
        listener,
    }
}

impl Gateway {
    /// Starts a request at the engine. It counts as in flight until the ticket is dropped.
    async fn choose(&self) -> Ticket {
        let demand = Demand {
            service: "lm".parse().expect("a valid name"),
            need: Need::Start,
            rank: 0,
            route: None,
            customer: None,
            latency_target: Duration::from_secs(1),
            waited: Duration::ZERO,
            max_output: Tokens::ZERO,
            prompt: Tokens::new(1_000),
            shared_prefix: Tokens::ZERO,
            shared_parts: Arc::default(),
            affinity: None,
            remaining: Duration::from_mins(1),
            excluded: Vec::new(),
            preferred_zone: None,
        };
        let ticket = self.dispatcher.send(Choose(demand)).await;
        ticket.expect("a running dispatcher").expect("an engine")
    }

    /// Lists another engine.
    async fn add_engine(&self, id: &str) {
        let first = Arc::clone(&self.choose().await.choice().instance);
        let other = Arc::new(Instance {
            id: id.parse().expect("a valid name"),
            address: "127.0.0.1:9002".parse().expect("an address"),
            ..Instance::clone(&first)
        });
        self.dispatcher.do_send(SetInstances(vec![first, other]));
    }

    /// Waits until this gateway places requests at an engine, or until it places none of many there.
    async fn wait_for_use_of(&self, endpoint: &Endpoint, expected: bool) {
        for _ in 0..POLLS_MAX {
            let mut used = false;
            for _ in 0..100 {
                used |= self.choose().await.choice().instance.id == *endpoint;
            }
            if used == expected {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("{}: use of {endpoint} did not become {expected}", self.name);
    }

    /// Waits until this gateway counts `expected` requests of other gateways at the engine. Each
    /// poll starts a request of this gateway and drops it at once.
    async fn wait_for_others(&self, expected: f64) {
        for _ in 0..POLLS_MAX {
            let peer_requests = self.choose().await.choice().peer_requests;
            if (peer_requests - expected).abs() < f64::EPSILON {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "{} never counted {expected} requests of other gateways",
            self.name
        );
    }
}

/// Guards against gateways that do not receive each other's work in progress, or still count it
/// after it has ended or after the other gateway has gone.
#[test]
fn work_of_peers_is_counted_until_it_ends() {
    actix::System::new().block_on(async {
        let (first, second) = (gateway("a").await, gateway("b").await);
        let items = [&first, &second].map(|gateway| {
            item(
                gateway.name.as_str(),
                &gateway.listener.address().to_string(),
            )
        });
        for gateway in [&first, &second] {
            gateway
                .mesh
                .do_send(GatewaysChanged(Update::Snapshot(items.to_vec())));
        }
        let tickets = [second.choose().await, second.choose().await];
        first.wait_for_others(2.0).await;
        let [one, other] = tickets;
        one.end(Ending::Served);
        first.wait_for_others(1.0).await;
        // Dropping the listener closes the link, as the end of the process would.
        drop(second.listener);
        first.wait_for_others(0.0).await;
        drop(other);
    });
}

/// Guards against closing a working link to another gateway because the entry of that gateway has
/// disappeared from the store, as after an outage of the store.
#[test]
fn link_stays_open_without_an_entry_in_the_store() {
    actix::System::new().block_on(async {
        let (first, second) = (gateway("a").await, gateway("b").await);
        let own = item("a", &first.listener.address().to_string());
        let other = item("b", &second.listener.address().to_string());
        let both = Update::Snapshot(vec![own.clone(), other]);
        first.mesh.do_send(GatewaysChanged(both));
        let _ticket = second.choose().await;
        first.wait_for_others(1.0).await;
        first
            .mesh
            .do_send(GatewaysChanged(Update::Snapshot(vec![own])));
        let _another = second.choose().await;
        first.wait_for_others(2.0).await;
    });
}

fn session(number: u64) -> Session {
    number.to_string().parse().expect("a valid session")
}

/// Guards against a confirmation that is dated too late, or taken for another version; and against a plan
/// that is requested from every peer at once, or never.
#[test]
fn confirmations_of_peers_count_from_the_echoed_time() {
    let seconds = Duration::from_secs;
    let link = session(1);
    // The clock of the peer is ahead by 1,000 s.
    let (mut own, mut peer) = (PlanExchange::default(), PlanExchange::default());
    let mut steps = Vec::new();
    let confirmed = |version: u64, as_of: u64| Some((Version::new(version), seconds(as_of)));
    let cases = [
        (
            "before the first echo",
            10,
            1_010,
            confirmed(4, 1_009),
            10,
            4,
        ),
        ("on its way for 5 s", 20, 1_020, confirmed(4, 1_018), 25, 4),
        ("peer was suspended", 30, 1_090, confirmed(4, 1_080), 91, 4),
        ("older version", 100, 1_100, confirmed(3, 1_099), 100, 4),
        ("not confirmed", 110, 1_110, None, 110, 4),
        ("newer version", 120, 1_120, confirmed(5, 1_119), 120, 4),
        ("again at once", 120, 1_120, confirmed(5, 1_119), 120, 4),
        ("again", 121, 1_121, confirmed(5, 1_120), 121, 4),
        ("requested", 121, 1_121, confirmed(5, 1_120), 121, 4),
        ("received", 122, 1_122, confirmed(5, 1_121), 122, 5),
        ("a later one", 123, 1_123, confirmed(6, 1_122), 123, 5),
    ];
    for (number, (name, sent, peer_now, confirmed, now, active)) in cases.into_iter().enumerate() {
        let request = own.state(link, None, seconds(sent));
        if number > 0 {
            peer.receive(link, request, None, seconds(peer_now));
        }
        let answer = peer.state(link, confirmed, seconds(peer_now));
        let step = own.receive(link, answer, Some(Version::new(active)), seconds(now));
        steps.push(format!("{name}: {step:?}"));
    }
    insta::assert_debug_snapshot!(steps);
}

/// A plan that consists of its version, and is confirmed by its holder.
#[derive(Debug)]
struct TextPlan {
    version: Cell<u64>,
    confirmed: Cell<Option<Duration>>,
}

impl SharedPlan for TextPlan {
    fn version(&self) -> Option<Version> {
        Some(Version::new(self.version.get()))
    }

    fn confirmed(&self) -> Option<(Version, Duration)> {
        Some((self.version()?, self.confirmed.get()?))
    }

    fn text(&self) -> Option<(Version, String)> {
        Some((self.version()?, self.version.get().to_string()))
    }

    fn confirm(&self, version: Version, as_of: Duration) {
        assert_eq!(Some(version), self.version());
        self.confirmed.set(Some(as_of));
    }

    fn adopt(&self, text: &str) {
        self.version.set(text.parse().expect("a version"));
    }
}

/// Guards against a gateway that does not reach the store, and keeps an older plan or an older confirmation
/// although its peer has newer ones.
#[test]
fn plan_and_confirmation_pass_over_a_link() {
    actix::System::new().block_on(async {
        let plan = |version, confirmed| {
            Rc::new(TextPlan {
                version: Cell::new(version),
                confirmed: Cell::new(confirmed),
            })
        };
        let (behind, ahead) = (plan(4, None), plan(7, Some(System.since_boot())));
        let first = gateway_with_plan("a", Some(Rc::clone(&behind) as Rc<dyn SharedPlan>)).await;
        let second = gateway_with_plan("b", Some(Rc::clone(&ahead) as Rc<dyn SharedPlan>)).await;
        let other = item("b", &second.listener.address().to_string());
        let entries = Update::Snapshot(vec![item("a", "127.0.0.1:1"), other]);
        first.mesh.do_send(GatewaysChanged(entries));
        for _ in 0..POLLS_MAX {
            if behind.confirmed.get().is_some() {
                assert_eq!(behind.version.get(), 7);
                assert!(behind.confirmed.get() <= ahead.confirmed.get());
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("no confirmation arrived");
    });
}

/// Guards against gateways that do not tell each other what they have placed in the memory of engines, or
/// that count it after it has been freed or after the other gateway has gone.
#[test]
fn memory_that_peers_use_is_left_to_them() {
    actix::System::new().block_on(async {
        let (first, second) = (gateway("a").await, gateway("b").await);
        let items = [&first, &second].map(|gateway| {
            let address = gateway.listener.address().to_string();
            item(gateway.name.as_str(), &address)
        });
        for gateway in [&first, &second] {
            gateway.add_engine("e2").await;
            // Room for one request at each engine.
            let memory = [("lm".parse().expect("a valid name"), Tokens::new(1_500))];
            gateway.dispatcher.do_send(SetMemory(memory.into()));
            let snapshot = Update::Snapshot(items.to_vec());
            gateway.mesh.do_send(GatewaysChanged(snapshot));
        }
        // After the first response only memory keeps other requests away: no prompt waits any more.
        let mut ticket = second.choose().await;
        ticket.record_first_response(None, false);
        let used = ticket.choice().instance.id.clone();
        first.wait_for_use_of(&used, false).await;
        ticket.end(Ending::Served);
        first.wait_for_use_of(&used, true).await;
        let mut other = second.choose().await;
        other.record_first_response(None, false);
        let used = other.choice().instance.id.clone();
        first.wait_for_use_of(&used, false).await;
        // Dropping the listener closes the link, as the end of the process would.
        drop(second.listener);
        first.wait_for_use_of(&used, true).await;
        drop(other);
    });
}
