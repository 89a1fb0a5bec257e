use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use actix::{Actor, Context, Handler, Message};
use proptest::prelude::*;

use super::*;
use crate::{
    admission::Capacity,
    clock::System,
    config::{Document, EndpointKind, EndpointSpec},
    error::Kind,
    id::{Endpoint, Revision},
    retry::WindowBudget,
    testing::with_paused_time,
    unit::Tokens,
    wire::{Load, Report, Role},
};

/// Sets up the table and the demand of a scenario.
type Setup = fn(&mut Table, &mut Demand, Instant);

fn name(index: usize) -> Endpoint {
    format!("e{index}").parse().expect("valid name")
}

fn spec(zone: usize) -> EndpointSpec {
    EndpointSpec {
        kind: EndpointKind::Engine,
        group: "g".parse().expect("valid name"),
        host: "h".parse().expect("valid name"),
        zone: format!("z{zone}").parse().expect("valid name"),
        agent: ([127, 0, 0, 1], 1).into(),
        fenced: true,
        models: vec!["m".parse().expect("valid name")],
        role: Role::Mixed,
        service: None,
        slots: 4,
    }
}

fn demand() -> Demand {
    Demand {
        pool: Pool::Model("m".parse().expect("valid name")),
        class: "c".parse().expect("valid name"),
        cost: Cost {
            input: Tokens::new(400),
            output: Tokens::new(50),
        },
        prefix: Prefix::default(),
        excluded: Vec::new(),
    }
}

fn report(endpoint: usize, prefill: u64) -> Report {
    Report {
        entries: 1,
        endpoint: name(endpoint),
        revision: Revision::new(1),
        leaving: false,
        drained: false,
        paused_for: Duration::ZERO,
        role: Role::Mixed,
        models: spec(0).models,
        load: Load {
            prefill: Tokens::new(prefill),
            ..Load::default()
        },
    }
}

/// A table with `size` linked endpoints, endpoint `i` in zone `i % 2`; the entry is in zone 1.
fn table(policy: Box<dyn Policy>, size: usize, seed: u64, now: Instant) -> Table {
    let zone = "z1".parse().expect("valid name");
    let mut table = Table::new(policy, Box::new(WindowBudget::new()), seed, Some(zone));
    let document = Document {
        endpoints: (0..size).map(|i| (name(i), spec(i % 2))).collect(),
        ..Document::default()
    };
    table.set_document(&document, now);
    (0..size).for_each(|i| table.set_linked(&name(i), true));
    table
}

fn balanced(size: usize, seed: u64, now: Instant) -> Table {
    table(Box::new(PowerOfTwo::default()), size, seed, now)
}

/// Counts how many of `requests` requests each endpoint gets. Each ends before the next one.
fn distribute(table: &mut Table, demand: &Demand, requests: usize, now: Instant) -> Vec<usize> {
    let mut counts = vec![0; table.view().endpoints().len()];
    for _ in 0..requests {
        let endpoint = table.choose(demand, now).expect("an endpoint fits");
        table.finish(&endpoint, demand.cost, Ending::Abandoned, now);
        let index: usize = endpoint.as_str()[1..].parse().expect("index");
        counts[index] += 1;
    }
    counts
}

/// Guards against requests to an endpoint that is draining, down, without the model, avoided or
/// ejected, and against the exclusion of one whose reports are only late.
#[test]
fn ineligible_endpoints_get_no_requests() {
    let start = Instant::now();
    let scenarios: [(&str, Setup); 9] = [
        ("all", |_, _, _| {}),
        ("leaving", |table, _, now| {
            let leaving = true;
            table.observe(
                Report {
                    leaving,
                    ..report(0, 0)
                },
                now,
            );
        }),
        ("link down", |table, _, now| {
            table.observe(report(0, 0), now);
            table.set_linked(&name(0), false);
        }),
        ("report late, link up", |table, _, now| {
            table.observe(
                report(0, 0),
                now.checked_sub(Duration::from_secs(9)).expect("past"),
            );
        }),
        ("model not loaded", |table, _, now| {
            let models = Vec::new();
            table.observe(
                Report {
                    models,
                    ..report(0, 0)
                },
                now,
            );
        }),
        ("paused", |table, _, now| {
            let paused_for = Duration::from_secs(1);
            table.observe(
                Report {
                    paused_for,
                    ..report(0, 0)
                },
                now,
            );
        }),
        ("pause over", |table, _, now| {
            let paused_for = Duration::from_secs(1);
            table.observe(
                Report {
                    paused_for,
                    ..report(0, 0)
                },
                now.checked_sub(paused_for).expect("past"),
            );
        }),
        ("avoided", |_, demand, _| demand.excluded.push(name(0))),
        ("three failures", |table, demand, now| {
            for _ in 0..3 {
                table.finish(&name(0), demand.cost, Ending::Failed, now);
            }
        }),
    ];
    let mut results = Vec::new();
    for (label, setup) in scenarios {
        let now = start + Duration::from_mins(1);
        let mut table = balanced(3, 1, now);
        let mut demand = demand();
        setup(&mut table, &mut demand, now);
        let counts = distribute(&mut table, &demand, 100, now);
        let slots: Vec<u32> = table.capacities(now).iter().map(|c| c.slots).collect();
        let used: Vec<bool> = counts.iter().map(|count| *count > 0).collect();
        results.push(format!("{label}: used {used:?}, slots {slots:?}"));
    }
    insta::assert_debug_snapshot!(results);
}

/// Guards against a wrong error kind for a pool without endpoints.
#[test]
fn empty_pool_returns_no_endpoint() {
    let now = Instant::now();
    let mut table = balanced(0, 1, now);
    let error = table
        .choose(&demand(), now)
        .expect_err("there is no endpoint");
    assert_eq!(error.kind(), Kind::NoEndpoint);
}

/// Guards against entries with the same stale reports that all select the endpoint with the least
/// reported load. With the baseline policy, all 100 entries select one endpoint.
#[test]
fn stale_reports_do_not_concentrate_requests() {
    let now = Instant::now();
    let most = |policy: fn() -> Box<dyn Policy>| {
        let mut totals = vec![0; 9];
        for seed in 0..100 {
            let mut table = table(policy(), 9, seed, now);
            for i in 0..9 {
                table.observe(report(i, 100 + 10 * i as u64), now);
            }
            let counts = distribute(&mut table, &demand(), 1, now);
            totals.iter_mut().zip(counts).for_each(|(t, c)| *t += c);
        }
        totals.into_iter().max().unwrap_or(0)
    };
    let baseline = most(|| Box::new(LeastInFlight));
    let own = most(|| Box::new(PowerOfTwo::default()));
    assert_eq!(baseline, 100);
    assert!(
        own * 3 < baseline,
        "{own} of 100 entries selected the same endpoint"
    );
}

/// Guards against a selection that ignores cached prompts, load or zones.
#[test]
fn load_cache_and_zone_affect_selection() {
    let now = Instant::now();
    let mut results = BTreeMap::new();
    results.insert(
        "zone",
        distribute(&mut balanced(2, 1, now), &demand(), 100, now),
    );
    let mut loaded = balanced(2, 1, now);
    loaded.observe(report(1, 5_000), now);
    results.insert(
        "load before zone",
        distribute(&mut loaded, &demand(), 100, now),
    );
    let mut warm = balanced(8, 1, now);
    let mut demand = demand();
    demand.prefix = Prefix((0..25).collect());
    results.insert("cache", distribute(&mut warm, &demand, 100, now));
    insta::assert_debug_snapshot!(results);
}

/// Guards against a history of sent blocks that grows without bound, and against one that drops
/// blocks that are still in use.
#[test]
fn block_history_is_bounded() {
    let now = Instant::now();
    let mut table = balanced(1, 1, now);
    let mut send = |blocks: std::ops::Range<u64>| {
        let mut demand = demand();
        demand.prefix = Prefix(blocks.collect());
        let cached = table.view().endpoints()[&name(0)].cached(&demand);
        distribute(&mut table, &demand, 1, now);
        cached.get()
    };
    let first = [send(0..4), send(0..4), send(0..8)];
    assert_eq!(first, [0, 400, 200]);
    (1..100).for_each(|part| {
        send(part * 100..part * 100 + 100);
    });
    assert_eq!(send(0..4), 0);
}

/// Guards against full traffic to an endpoint right after an ejection, and against an endpoint that
/// never gets full traffic again.
#[test]
fn traffic_ramps_up_after_ejection() {
    let now = Instant::now();
    let mut table = balanced(4, 1, now);
    let demand = demand();
    for _ in 0..3 {
        table.finish(&name(1), demand.cost, Ending::Failed, now);
    }
    let mut requests_at = |millis| {
        let at = now + Duration::from_millis(millis);
        distribute(&mut table, &demand, 1_000, at)[1]
    };
    let counts = [
        requests_at(999),
        requests_at(1_000),
        requests_at(3_500),
        requests_at(6_000),
    ];
    let normal = counts[3];
    assert_eq!(counts[0], 0);
    assert!(counts[1] > 0 && counts[1] * 4 < normal, "{counts:?}");
    assert!(counts[2] > counts[1] && counts[2] < normal, "{counts:?}");
}

/// Guards against admission that counts slots of ejected endpoints, and against a router that does
/// not publish the slots when the ejection ends.
#[test]
fn slot_changes_are_published() {
    with_paused_time(async {
        let clock = System::shared();
        let recorder = CapacityRecorder::default().start();
        let config = Config::new(clock).capacity(recorder.clone().recipient());
        let router = spawn(config);
        let endpoints = (0..2).map(|i| (name(i), spec(0))).collect();
        let document = Document {
            endpoints,
            ..Document::default()
        };
        router
            .send(SetDocument(document.into()))
            .await
            .expect("running");
        for endpoint in [name(0), name(1)] {
            let up = true;
            router
                .send(LinkChanged { endpoint, up })
                .await
                .expect("running");
        }
        for _ in 0..3 {
            let failed = Finish {
                endpoint: name(0),
                cost: Cost::default(),
                ending: Ending::Failed,
            };
            router.send(failed).await.expect("running");
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let without_endpoints = SetDocument(Document::default().into());
        router.send(without_endpoints).await.expect("running");
        let slots = recorder.send(RecordedSlots).await.expect("running");
        assert_eq!(slots, [0, 4, 8, 4, 8, 0]);
        assert!(router.send(MayRetry).await.expect("running"));
    });
}

/// Records the slots that the router publishes.
#[derive(Debug, Default)]
struct CapacityRecorder(Vec<u32>);

impl Actor for CapacityRecorder {
    type Context = Context<Self>;
}

impl Handler<Capacity> for CapacityRecorder {
    type Result = ();

    fn handle(&mut self, msg: Capacity, _: &mut Context<Self>) {
        self.0.push(msg.slots);
    }
}

/// Asks a [`CapacityRecorder`] for the recorded slots, in order.
#[derive(Message)]
#[rtype(result = "Vec<u32>")]
struct RecordedSlots;

impl Handler<RecordedSlots> for CapacityRecorder {
    type Result = Vec<u32>;

    fn handle(&mut self, _: RecordedSlots, _: &mut Context<Self>) -> Vec<u32> {
        self.0.clone()
    }
}

proptest! {
    /// Guards against requests in flight that are not counted, or are still counted after they end.
    #[test]
    fn in_flight_returns_to_zero(seed in any::<u64>(), endings in prop::collection::vec(0..4_usize, 1..60)) {
        let now = Instant::now();
        let mut table = balanced(5, seed, now);
        let demand = demand();
        let chosen: Vec<Endpoint> = endings
            .iter()
            .map(|_| table.choose(&demand, now).expect("an endpoint fits"))
            .collect();
        let total: u32 = table.view().endpoints().values().map(|s| s.in_flight).sum();
        prop_assert_eq!(total as usize, endings.len());
        let kinds = [Ending::Served, Ending::Refused, Ending::Failed, Ending::Abandoned];
        for (endpoint, ending) in chosen.iter().zip(endings) {
            table.finish(endpoint, demand.cost, kinds[ending], now);
        }
        for status in table.view().endpoints().values() {
            prop_assert_eq!((status.in_flight, status.in_flight_cost), (0, Cost::default()));
        }
    }
}

/// Guards against several entries that each admit requests for all slots of a pool, so that
/// requests queue at the engines instead of in admission.
#[test]
fn entries_share_slots() {
    let start = Instant::now();
    let mut table = balanced(2, 0, start);
    let slots = |table: &mut Table| -> Vec<u32> {
        let changes = table.capacities(start).into_iter();
        changes.map(|change| change.slots).collect()
    };
    let mut seen = vec![slots(&mut table)];
    for entries in [2, 3, 100] {
        for endpoint in 0..2 {
            let report = Report {
                entries,
                ..report(endpoint, 0)
            };
            table.observe(report, start);
        }
        seen.push(slots(&mut table));
    }
    assert_eq!(seen, [[8], [4], [3], [1]]);
}
