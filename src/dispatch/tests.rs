use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tokio::time;

use super::*;
use crate::{
    clock::{Clock as _, System},
    directory::{Instance, Stage, Started},
    forecast::{Expectation, Pace},
    id::{Endpoint, Zone},
    link::Session,
    notice::Notice,
    testing::with_paused_time,
    triage,
    unit::{Slowdown, Tokens},
    wire::{Digest, Occupancy, Usage},
};

fn zone(name: &str) -> Zone {
    name.parse().expect("a valid name")
}

fn instance(id: &str, service: &str, stage: Option<Stage>) -> Arc<Instance> {
    Arc::new(Instance {
        started: None,
        id: id.parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        address: "127.0.0.1:9001".parse().expect("an address"),
        zone: zone(if id.ends_with("far") { "b" } else { "a" }),
        slots: 4,
        draining: false,
        stage,
    })
}

fn demand(service: &str, need: Need, prompt: u64, affinity: Option<u64>) -> Demand {
    Demand {
        service: service.parse().expect("a valid name"),
        need,
        rank: 1,
        route: None,
        customer: None,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        max_output: Tokens::ZERO,
        prompt: Tokens::new(prompt),
        shared_prefix: Tokens::new(prompt / 2),
        shared_parts: Arc::default(),
        affinity,
        remaining: Duration::from_mins(1),
        excluded: Vec::new(),
        preferred_zone: None,
    }
}

fn finish(choice: &Choice, prompt: u64, ending: Ending) -> Finish {
    Finish {
        endpoint: choice.instance.id.clone(),
        rank: choice.rank,
        prompt: Tokens::new(prompt),
        footprint: choice.footprint,
        ending,
        pace: None,
        demand: Arc::new(demand("lm", Need::Start, prompt, None)),
    }
}

fn engines() -> Vec<Arc<Instance>> {
    vec![
        instance("p1", "lm", Some(Stage::Prefill)),
        instance("p2", "lm", Some(Stage::Prefill)),
        instance("d1", "lm", Some(Stage::Decode)),
        instance("d2", "lm", Some(Stage::Decode)),
    ]
}

fn services() -> Vec<Arc<Instance>> {
    vec![
        instance("s1", "print", None),
        instance("s2", "print", None),
        instance("s3-far", "print", None),
    ]
}

fn balancer(instances: Vec<Arc<Instance>>) -> (LoadBalancer, Instant) {
    let now = Instant::now();
    let mut balancer = LoadBalancer::new(zone("a"), 1);
    balancer.set_instances(instances, now);
    (balancer, now)
}

/// Places requests that stay in flight, and returns the endpoint or error kind of each.
fn choices(
    balancer: &mut LoadBalancer,
    demand: &Demand,
    count: usize,
    now: Instant,
) -> Vec<String> {
    let choose = |_| match balancer.choose(demand, now) {
        Ok(choice) => choice.instance.id.to_string(),
        Err(error) => error.kind().to_string(),
    };
    (0..count).map(choose).collect()
}

/// Guards against requests that pile up at one endpoint, and against ones that leave the zone while
/// it has idle endpoints.
#[test]
fn requests_spread_evenly_with_zone_preference() {
    let (mut balancer, now) = balancer(services());
    let demand = demand("print", Need::Start, 0, None);
    let mut chosen = choices(&mut balancer, &demand, 6, now);
    chosen[..2].sort();
    chosen[2..3].sort();
    chosen[3..5].sort();
    insta::assert_debug_snapshot!(chosen);
}

/// Guards against decode engines that get no more prompts because the prompt of a decode-only
/// request stays counted in their backlog.
#[test]
fn decode_only_requests_add_no_backlog() {
    let (mut balancer, now) = balancer(engines());
    for _ in 0..50 {
        let choice = balancer
            .choose(&demand("lm", Need::Decode, 12_000, None), now)
            .expect("a decode engine");
        assert_eq!(choice.instance.stage, Some(Stage::Decode));
        balancer.finish(&finish(&choice, 0, Ending::Served), now);
    }
    // With idle engines, a short prompt is prefilled at a decode engine, which saves the transfer.
    let choice = balancer.choose(&demand("lm", Need::Start, 20, None), now);
    assert_eq!(
        choice.expect("an engine").instance.stage,
        Some(Stage::Decode)
    );
}

/// Guards against long prompts that are prefilled at decode engines, or that all go to one prefill
/// engine.
#[test]
fn long_prompts_go_to_prefill_engines() {
    let (mut balancer, now) = balancer(engines());
    let demand = demand("lm", Need::Start, 4_000, None);
    insta::assert_debug_snapshot!(choices(&mut balancer, &demand, 8, now));
}

/// Guards against shared prefixes that are prefilled at every engine, and against affinity that
/// moves when another engine is removed.
#[test]
fn shared_prefixes_keep_their_engine() {
    let (mut balancer, now) = balancer(engines());
    let affinities = |balancer: &mut LoadBalancer| -> Vec<String> {
        (0..8)
            .map(|affinity| {
                let demand = demand("lm", Need::Start, 4_000, Some(affinity));
                let choice = balancer.choose(&demand, now).expect("an engine");
                balancer.finish(&finish(&choice, 4_000, Ending::Served), now);
                choice.instance.id.to_string()
            })
            .collect()
    };
    let before = affinities(&mut balancer);
    assert_eq!(affinities(&mut balancer), before);
    let remaining = engines()
        .into_iter()
        .filter(|engine| engine.id.as_str() != "p1");
    balancer.set_instances(remaining.collect(), now);
    let after = affinities(&mut balancer);
    let stayed = before.iter().zip(&after).filter(|(old, _)| *old != "p1");
    assert!(stayed.clone().count() > 0, "all prompts had affinity to p1");
    assert!(
        stayed.clone().all(|(old, new)| old == new),
        "{before:?} {after:?}"
    );
}

/// Reports streams of the engines whose events arrive at this pause, if 200 ms are accepted.
fn report_streams(balancer: &mut LoadBalancer, pause: Duration, now: Instant) {
    for _ in 0..50 {
        let decode = demand("lm", Need::Decode, 100, None);
        let choice = balancer.choose(&decode, now).expect("a decode engine");
        let deadline = now + Duration::from_mins(1);
        let mut pace = Pace::new(Duration::from_millis(200), deadline);
        (0..50).for_each(|event| pace.record(now + pause * event));
        let mut finish = finish(&choice, 0, Ending::Served);
        finish.pace = Some(pace);
        balancer.finish(&finish, now);
    }
}

/// A balancer whose decode engines each run ten streams with this pause between events.
fn balancer_with_streams(pause: Duration) -> (LoadBalancer, Instant) {
    let (mut balancer, now) = balancer(engines());
    report_streams(&mut balancer, pause, now);
    let stream = demand("lm", Need::Decode, 100, None);
    choices(&mut balancer, &stream, 20, now);
    (balancer, now)
}

/// Guards against a long prompt that makes the streams of a decode engine late although it could wait for a
/// prefill engine and still be in time, and against placing requests without customers in another way.
#[test]
fn long_prompts_of_customers_wait_rather_than_delay_streams() {
    let stage = |customer: Option<&str>, prompt: u64, target: Duration| {
        let (mut balancer, now) = balancer_with_streams(Duration::from_millis(50));
        // Both prefill engines are busy for about a second.
        let busy = ["p1", "p2"].map(|engine| usage(engine, 2, &[(0, 60_000)]));
        balancer.apply_peer_digest(usage_digest(Session::next(), busy.to_vec()), now);
        let mut demand = demand("lm", Need::Start, prompt, None);
        demand.customer = customer.map(|name| name.parse().expect("a valid name"));
        demand.latency_target = target;
        let choice = balancer.choose(&demand, now).expect("an engine");
        choice.instance.stage
    };
    let (ample, short) = (Duration::from_secs(3), Duration::from_millis(250));
    insta::assert_debug_snapshot!([
        ("long, no customer", stage(None, 12_000, ample)),
        ("long, ample target", stage(Some("a"), 12_000, ample)),
        ("short, short target", stage(Some("a"), 800, short)),
    ]);
}

/// Counts the requests that go to decode engines in a burst of long prompts.
fn prompts_at_decode_engines(pause: Duration) -> usize {
    let (mut balancer, now) = balancer_with_streams(pause);
    let burst = demand("lm", Need::Start, 8_000, None);
    let chosen = choices(&mut balancer, &burst, 30, now);
    chosen.iter().filter(|id| id.starts_with('d')).count()
}

/// Guards against decode engines that idle while prompts wait for prefill engines, and against
/// prompts that make the streams of decode engines late. The load is a burst of long prompts.
#[test]
fn decode_engines_take_prompts_as_far_as_their_streams_allow() {
    let pauses = [10, 50, 100, 200, 400].map(Duration::from_millis);
    let counts = pauses.map(|pause| (pause, prompts_at_decode_engines(pause)));
    insta::assert_debug_snapshot!(counts);
}

/// Guards against a shared prefix that is prefilled again, or that waits in the queue of the engine
/// that has it cached, while another engine could take a copy. The load is one popular prefix.
#[test]
fn shared_prefix_is_copied_from_a_busy_engine() {
    let (mut balancer, now) = balancer(engines());
    let mut demand = demand("lm", Need::Start, 8_000, Some(7));
    demand.shared_prefix = Tokens::new(6_000);
    let home = balancer.choose(&demand, now).expect("an engine");
    let chosen: Vec<_> = (0..40)
        .map(|_| balancer.choose(&demand, now).expect("an engine"))
        .collect();
    let (at_home, copies): (Vec<_>, Vec<_>) = chosen
        .iter()
        .partition(|choice| choice.instance.id == home.instance.id);
    assert!(at_home.iter().all(|choice| choice.fetch_from.is_none()));
    let source = Some(home.instance.address);
    assert!(copies.iter().all(|choice| choice.fetch_from == source));
    let prefilled = copies.iter().map(|choice| choice.prefill_tokens.get());
    insta::assert_debug_snapshot!((at_home.len(), copies.len(), prefilled.max()));
}

/// Counts the prefixes of 600 that each engine keeps, if streams pause for this time.
fn homes(pause: Duration) -> Vec<(String, usize)> {
    let (mut balancer, now) = balancer_with_streams(pause);
    let mut counts = std::collections::BTreeMap::new();
    for affinity in 0..600 {
        let mut demand = demand("lm", Need::Start, 8_000, Some(affinity));
        demand.shared_prefix = Tokens::new(7_900);
        let choice = balancer.choose(&demand, now).expect("an engine");
        *counts.entry(choice.instance.id.to_string()).or_default() += 1;
        balancer.finish(&finish(&choice, 100, Ending::Served), now);
    }
    counts.into_iter().collect()
}

/// Guards against prefixes that crowd the memory of the prefill engines while that of the decode
/// engines is free, and against decode engines that keep prefixes which they had better not prefill.
#[test]
fn prefixes_are_kept_by_all_engines_that_can_prefill_them() {
    let pauses = [10, 400].map(Duration::from_millis);
    insta::assert_debug_snapshot!(pauses.map(|pause| (pause, homes(pause))));
}

/// Describes what becomes of a request while peers have this many tokens waiting at each engine.
fn fate(waiting: &[(&str, u64)], remaining: Duration) -> String {
    let (mut balancer, now) = balancer(engines());
    let usages = waiting
        .iter()
        .map(|(engine, tokens)| usage(engine, 1, &[(0, *tokens)]));
    balancer.apply_peer_digest(usage_digest(Session::next(), usages.collect()), now);
    let mut demand = demand("lm", Need::Start, 4_000, None);
    demand.remaining = remaining;
    match balancer.choose(&demand, now) {
        Ok(choice) => format!("sent to {}", choice.instance.id),
        Err(error) => format!("{}, retry after {:?}", error.kind(), error.retry_after()),
    }
}

/// Guards against requests that wait in engines until their deadline although all queues are known
/// to be too long, and against the refusal of a request that one engine can serve. The load is an
/// overload of all engines.
#[test]
fn requests_are_refused_only_if_every_forecast_misses_the_deadline() {
    let queue = |tokens| ["p1", "p2", "d1", "d2"].map(|engine| (engine, tokens));
    let one_free = [("p1", 900_000), ("p2", 900_000), ("d1", 900_000)];
    let second = Duration::from_secs(1);
    insta::assert_debug_snapshot!([
        ("idle", fate(&[], second)),
        ("short queues", fate(&queue(20_000), second)),
        ("long queues", fate(&queue(900_000), second)),
        (
            "long queues, far deadline",
            fate(&queue(900_000), second * 60)
        ),
        ("one engine is free", fate(&one_free, second)),
    ]);
}

/// Guards against a class whose largest requests are never served because smaller ones overtake
/// them, and against configured ranks that change their order.
#[test]
fn large_requests_precede_others_of_their_rank_only() {
    let (mut balancer, now) = balancer(engines());
    for rank in 0..3 {
        for prompt in [1_000, 1_500, 2_000, 2_500, 9_000] {
            let mut typical = demand("lm", Need::Start, prompt, None);
            typical.rank = rank;
            balancer.record_request(&typical, now);
        }
    }
    // Each with the rank at the engines of a large and of a small request. The last one is that of a
    // large request after a rank was seen with which there are too many to split them.
    let mut ranks = Vec::new();
    for rank in [0, 1, 2, 4, 9] {
        let mut of = |prompt| {
            let mut demand = demand("lm", Need::Start, prompt, None);
            demand.rank = rank;
            balancer.choose(&demand, now).expect("an engine").rank
        };
        ranks.push((rank, of(9_000), of(1_000)));
    }
    let mut least_urgent = demand("lm", Need::Start, 1_000, None);
    least_urgent.rank = 9;
    balancer.record_request(&least_urgent, now);
    let choice = balancer.choose(&demand("lm", Need::Start, 9_000, None), now);
    ranks.push((1, choice.expect("an engine").rank, 0));
    insta::assert_debug_snapshot!(ranks);
}

/// Guards against a busy endpoint being taken for a dead one.
#[test]
fn endpoint_that_answers_others_is_not_silent() {
    let (mut balancer, now) = balancer(services());
    let endpoint: Endpoint = "s1".parse().expect("a valid name");
    let later = now + Duration::from_secs(1);
    assert!(balancer.is_silent(&endpoint, now));
    let answer = Progress {
        endpoint: endpoint.clone(),
        rank: 0,
        prompt: Tokens::ZERO,
        load: None,
        prediction: None,
    };
    balancer.progress(&answer, later);
    assert!(!balancer.is_silent(&endpoint, now));
    assert!(balancer.is_silent(&endpoint, later));
}

/// Guards against requests to endpoints that are draining, were already tried, or have failed.
#[test]
fn ineligible_endpoints_are_skipped() {
    let (mut balancer, now) = balancer(services());
    let mut results = Vec::new();

    let mut draining = services();
    Arc::make_mut(&mut draining[0]).draining = true;
    balancer.set_instances(draining, now);
    let mut demand = demand("print", Need::Start, 0, None);
    results.push(format!(
        "s1 is draining: {:?}",
        choices(&mut balancer, &demand, 4, now)
    ));

    demand.excluded = vec!["s2".parse().expect("a valid name")];
    results.push(format!(
        "s2 was tried: {:?}",
        choices(&mut balancer, &demand, 2, now)
    ));

    balancer.set_instances(services(), now);
    demand.excluded = vec![
        "s1".parse().expect("a name"),
        "s3-far".parse().expect("a name"),
    ];
    for _ in 0..3 {
        let choice = balancer.choose(&demand, now).expect("s2");
        balancer.finish(&finish(&choice, 0, Ending::Failed), now);
    }
    demand.excluded.clear();
    results.push(format!(
        "s2 is ejected: {:?}",
        choices(&mut balancer, &demand, 4, now)
    ));

    let later = now + Duration::from_mins(1);
    results.push(format!(
        "later: {:?}",
        choices(&mut balancer, &demand, 4, later)
    ));

    balancer.set_instances(Vec::new(), now);
    results.push(format!(
        "no endpoints: {:?}",
        choices(&mut balancer, &demand, 1, now)
    ));
    insta::assert_debug_snapshot!(results);
}

/// Guards against a selection that ignores the requests of other processes in a load report, or
/// that uses an outdated report.
#[test]
fn fresh_load_reports_are_used() {
    let (mut balancer, now) = balancer(services());
    let busy = Progress {
        endpoint: "s1".parse().expect("a valid name"),
        rank: 0,
        prompt: Tokens::ZERO,
        load: Some(Load {
            running: 4,
            waiting: 4,
            slots: 4,
            slowdown: None,
        }),
        prediction: None,
    };
    balancer.progress(&busy, now);
    let demand = demand("print", Need::Start, 0, None);
    let fresh = choices(&mut balancer, &demand, 4, now);
    let later = now + Duration::from_secs(3);
    let outdated = choices(&mut balancer, &demand, 2, later);
    insta::assert_debug_snapshot!((fresh, outdated));
}

/// An answer of an endpoint that works at this slowdown.
fn paced_answer(endpoint: &str, percent: u32, prediction: Option<Prediction>) -> Progress {
    Progress {
        endpoint: endpoint.parse().expect("a valid name"),
        rank: 0,
        prompt: Tokens::ZERO,
        load: Some(Load {
            running: 0,
            waiting: 0,
            slots: 4,
            slowdown: Some(Slowdown::from_percent(percent)),
        }),
        prediction,
    }
}

/// Guards against a slowdown that does not count, or that counts for longer than it lasts.
#[test]
fn forecasts_follow_a_reported_slowdown_for_a_second() {
    let (mut balancer, now) = balancer(vec![instance("e1", "lm", None)]);
    balancer.progress(&paced_answer("e1", 400, None), now);
    let demand = demand("lm", Need::Start, 6_000, None);
    let forecasts = [0, 250, 500, 1_000, 5_000].map(|age| {
        let at = now + Duration::from_millis(age);
        let choice = balancer.choose(&demand, at).expect("e1");
        balancer.finish(&finish(&choice, 6_000, Ending::Abandoned), at);
        format!("after {age} ms: {:?}", choice.forecast)
    });
    insta::assert_debug_snapshot!(forecasts);
}

/// Guards against a slowdown that counts twice: as reported, and in the learned speed.
#[test]
fn reported_slowdown_is_not_learned() {
    let forecasts = [None, Some(100), Some(400)].map(|percent| {
        let (mut balancer, start) = balancer(vec![instance("e1", "lm", None)]);
        let slowed = Duration::from_millis(100) * percent.unwrap_or(400) / 100;
        let mut at = start;
        for _ in 0..200 {
            let prediction = Prediction {
                selected_at: at,
                tokens_ahead: Tokens::new(6_000),
                slowdown: percent.map(Slowdown::from_percent),
                rounds: None,
                expected: Expectation {
                    own: Tokens::new(6_000),
                    forecast: slowed,
                },
            };
            at += slowed;
            let mut answer = paced_answer("e1", percent.unwrap_or(100), Some(prediction));
            if percent.is_none() {
                answer.load = None;
            }
            balancer.progress(&answer, at);
        }
        let demand = demand("lm", Need::Start, 6_000, None);
        let choice = balancer.choose(&demand, at + Duration::from_secs(1));
        let forecast = choice.expect("e1").forecast;
        format!("{percent:?}: {} ms", forecast.as_millis())
    });
    insta::assert_debug_snapshot!(forecasts);
}

/// Guards against requests to an engine whose memory they would exceed, by what this process or its peers
/// have placed there, and against prefixes that count once for each request.
#[test]
fn engines_without_room_get_no_requests_while_others_have_room() {
    let engines = vec![instance("e1", "lm", None), instance("e2", "lm", None)];
    let (mut balancer, now) = balancer(engines);
    let session = Session::next();
    let peer = |own, prefixes: &[(u64, u64)]| PeerDigest {
        session,
        digest: Digest {
            tokens: vec![Occupancy {
                endpoint: "e1".parse().expect("a valid name"),
                own: Tokens::new(own),
                prefixes: prefixes
                    .iter()
                    .map(|(hash, tokens)| (*hash, Tokens::new(*tokens)))
                    .collect(),
            }],
            ..Digest::default()
        },
    };
    // The prefix of 500 tokens, and 500 of its own and 100 of output for each request.
    let demand = Demand {
        max_output: Tokens::new(100),
        ..demand("lm", Need::Start, 1_000, Some(7))
    };
    let mut results = Vec::new();
    let mut run = |what: &str, balancer: &mut LoadBalancer| {
        let chosen: crate::error::Result<Vec<Choice>> =
            (0..8).map(|_| balancer.choose(&demand, now)).collect();
        let chosen = chosen.expect("an engine");
        let on_first = chosen
            .iter()
            .filter(|choice| choice.instance.id.as_str() == "e1");
        results.push(format!(
            "{what}: {} of {} at e1",
            on_first.count(),
            chosen.len()
        ));
        for choice in &chosen {
            let finish = Finish {
                prompt: choice.prefill_tokens,
                ..finish(choice, 0, Ending::Served)
            };
            balancer.finish(&finish, now);
        }
    };
    let capacity = |tokens| [("lm".parse().expect("a valid name"), Tokens::new(tokens))].into();
    run("no limit", &mut balancer);
    balancer.apply_peer_digest(peer(9_800, &[(8, 100)]), now);
    run("no limit, peer at e1", &mut balancer);
    balancer.set_memory(capacity(10_000));
    run("peer fills e1", &mut balancer);
    balancer.apply_peer_digest(peer(4_000, &[(7, 500)]), now);
    run("peer has the same prefix", &mut balancer);
    balancer.apply_peer_digest(peer(4_000, &[(8, 5_000)]), now);
    run("peer has another prefix", &mut balancer);
    balancer.set_memory(capacity(1_000));
    run("none has room", &mut balancer);
    balancer.set_memory(capacity(10_000));
    balancer.remove_peer(session);
    run("peer has gone", &mut balancer);
    let left = balancer.take_digest(now);
    insta::assert_debug_snapshot!((results, left));
}

/// Guards against queues at a slow endpoint of a plain service while a fast one has free slots, against a
/// forecast that hides them, and against refusing requests because of it.
#[test]
fn plain_services_avoid_queues_at_slow_endpoints() {
    let endpoints = vec![instance("s1", "print", None), instance("s2", "print", None)];
    let (mut balancer, now) = balancer(endpoints);
    let demand = Demand {
        remaining: Duration::from_millis(1),
        ..demand("print", Need::Start, 0, None)
    };
    let mut results = Vec::new();
    let mut run = |what: &str, balancer: &mut LoadBalancer, now: Instant| {
        let chosen: crate::error::Result<Vec<Choice>> =
            (0..12).map(|_| balancer.choose(&demand, now)).collect();
        let chosen = chosen.expect("no refusal");
        let slow = chosen
            .iter()
            .filter(|choice| choice.instance.id.as_str() == "s1");
        let longest = chosen.iter().map(|choice| choice.forecast).max();
        let longest = longest.expect("choices").as_millis();
        results.push(format!(
            "{what}: {} of 12 at s1, up to {longest} ms",
            slow.count()
        ));
        for choice in &chosen {
            balancer.finish(&finish(choice, 0, Ending::Served), now);
        }
    };
    run("without reports", &mut balancer, now);
    // Answers after 100 ms at the usual speed, from the second place in a queue at half the speed.
    let prediction = Prediction {
        selected_at: now,
        tokens_ahead: Tokens::ZERO,
        slowdown: Some(Slowdown::from_percent(200)),
        rounds: Some(2.0),
        expected: Expectation {
            own: Tokens::ZERO,
            forecast: Duration::ZERO,
        },
    };
    let learned = now + Duration::from_millis(400);
    for _ in 0..200 {
        balancer.progress(&paced_answer("s1", 200, Some(prediction)), learned);
    }
    balancer.progress(&paced_answer("s2", 100, None), learned);
    run("s1 at half the speed", &mut balancer, learned);
    balancer.progress(&paced_answer("s1", 1_000, None), learned);
    run("s1 at a tenth of the speed", &mut balancer, learned);
    let later = learned + Duration::from_secs(1);
    run("a second later", &mut balancer, later);
    let mut queue = paced_answer("s1", 100, None);
    if let Some(load) = &mut queue.load {
        load.waiting = 30;
    }
    balancer.progress(&queue, later);
    run("s1 has a queue", &mut balancer, later);
    insta::assert_debug_snapshot!(results);
}

/// Guards against a load report whose numbers overflow, which makes its endpoint look idle.
#[test]
fn large_load_reports_do_not_overflow() {
    let (mut balancer, now) = balancer(services());
    let absurd = Progress {
        endpoint: "s1".parse().expect("a valid name"),
        rank: 0,
        prompt: Tokens::ZERO,
        load: Some(Load {
            running: u32::MAX,
            waiting: 1,
            slots: 4,
            slowdown: None,
        }),
        prediction: None,
    };
    balancer.progress(&absurd, now);
    let demand = demand("print", Need::Start, 0, None);
    let chosen = choices(&mut balancer, &demand, 4, now);
    assert!(!chosen.contains(&"s1".to_owned()), "{chosen:?}");
}

/// Guards against more retries than the budget of a service allows, and against a budget that
/// requests of another service raise.
#[test]
fn retries_are_limited_per_service() {
    let (mut balancer, now) = balancer([engines(), services()].concat());
    let print = "print".parse().expect("a valid name");
    let granted =
        |balancer: &mut LoadBalancer| (0..40).filter(|_| balancer.may_retry(&print, now)).count();
    let without_requests = granted(&mut balancer);
    let models = demand("lm", Need::Start, 1_000, None);
    (0..100).for_each(|_| balancer.record_request(&models, now));
    let after_others = granted(&mut balancer);
    let prints = demand("print", Need::Start, 0, None);
    (0..100).for_each(|_| balancer.record_request(&prints, now));
    let after_same = granted(&mut balancer);
    insta::assert_debug_snapshot!([without_requests, after_others, after_same]);
}

/// Guards against requests that are still sent to an address that now belongs to another endpoint.
#[test]
fn replaced_endpoint_is_removed() {
    let (mut balancer, now) = balancer(vec![instance("s1", "print", None)]);
    let demand = demand("print", Need::Start, 0, None);
    let choice = balancer.choose(&demand, now).expect("s1");
    balancer.finish(&finish(&choice, 0, Ending::Replaced), now);
    assert_eq!(choices(&mut balancer, &demand, 1, now), ["no-endpoint"]);
    let known: Endpoint = "s1".parse().expect("a valid name");
    balancer.set_instances(vec![instance("s1", "print", None)], now);
    assert_eq!(choices(&mut balancer, &demand, 1, now), [known.to_string()]);
}

/// Guards against requests that are written to an endpoint which the store has listed as draining or
/// removed since it was chosen (DRAIN), and against withholding those to an endpoint that stays.
#[test]
fn endpoint_is_judged_alike_at_the_choice_and_at_the_write() {
    let ready = || instance("s1", "print", None);
    let with = |change: fn(&mut Instance)| {
        let mut changed = ready();
        change(Arc::make_mut(&mut changed));
        changed
    };
    let draining = || with(|instance| instance.draining = true);
    let started = |millis| {
        move |instance: &mut Instance| instance.started = Some(Started::from_millis(millis))
    };
    let mut restarted = [ready(), ready()];
    started(1)(Arc::make_mut(&mut restarted[0]));
    started(2)(Arc::make_mut(&mut restarted[1]));
    let cases = [
        ("it stays", ready(), vec![vec![ready()]]),
        ("it drains", ready(), vec![vec![draining()]]),
        ("it is removed", ready(), vec![vec![]]),
        (
            "it is removed and listed again",
            ready(),
            vec![vec![], vec![ready()]],
        ),
        (
            "it moves",
            ready(),
            vec![vec![with(|instance| {
                instance.address = "127.0.0.1:9002".parse().expect("an address");
            })]],
        ),
        (
            "it starts again",
            Arc::clone(&restarted[0]),
            vec![vec![Arc::clone(&restarted[1])]],
        ),
        (
            "a drain is taken back",
            ready(),
            vec![vec![draining()], vec![ready()]],
        ),
    ];
    let standings = with_paused_time(async {
        let mut standings = Vec::new();
        for (what, chosen, changes) in cases {
            let dispatcher = spawn(Config::new(System::shared(), zone("a")));
            let set = |instances| dispatcher.send(SetInstances(instances));
            set(vec![chosen]).await.expect("it runs");
            let choose = Choose(demand("print", Need::Start, 0, None));
            let ticket = dispatcher.send(choose).await.expect("it runs");
            let permit = ticket.expect("s1").permit();
            for change in changes {
                set(change).await.expect("it runs");
            }
            standings.push(format!("{what}: {}", permit.standing()));
        }
        standings
    });
    insta::assert_debug_snapshot!(standings);
}

/// Guards against a request that is sent on after its endpoint must get no more (DRAIN), and against one that
/// is given up while its endpoint still takes it. The drain notice is 2 s; the list is confirmed at 0 s.
#[test]
fn begun_requests_may_be_sent_until_the_drain_notice_ends() {
    let ready = || vec![instance("s1", "print", None)];
    let mut draining = ready();
    Arc::make_mut(&mut draining[0]).draining = true;
    let leaving = Notice {
        leaving: true,
        pause: None,
    };
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for (what, learned_after) in [
            ("drains", Duration::from_millis(300)),
            ("drains, seen late", Duration::from_millis(1_900)),
            ("is removed", Duration::from_millis(300)),
            ("did not register again", Duration::from_millis(300)),
            ("says that it leaves", Duration::from_millis(300)),
            ("says so, then drains", Duration::from_millis(300)),
        ] {
            let dispatcher = spawn(Config::new(System::shared(), zone("a")));
            let sent = dispatcher.send(SetInstances(ready())).await;
            sent.expect("it runs");
            dispatcher.send(ListConfirmed).await.expect("it runs");
            let start = System.now();
            let choose = Choose(demand("print", Need::Start, 0, None));
            let ticket = dispatcher.send(choose).await.expect("it runs");
            let permit = ticket.expect("s1").permit();
            let mut closed = Box::pin(permit.closed());
            let is_open = time::timeout(learned_after, &mut closed).await.is_err();
            if what.starts_with("says") {
                permit.record(leaving, None);
            }
            match what {
                "is removed" => dispatcher.do_send(SetInstances(Vec::new())),
                "did not register again" => dispatcher.do_send(ExpireInstances(Vec::new())),
                "says that it leaves" => {}
                _ => dispatcher.do_send(SetInstances(draining.clone())),
            }
            closed.await;
            let closed_after = (System.now() - start).as_millis();
            let standing = permit.standing();
            outcomes.push(format!(
                "{what}: open before: {is_open}, {standing}, closed after {closed_after} ms"
            ));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against requests that stay counted as in flight after their caller disconnects while the
/// dispatcher selects an endpoint.
#[test]
fn disconnected_caller_is_not_counted() {
    let own_requests = with_paused_time(async {
        let dispatcher = spawn(Config::new(System::shared(), zone("a")));
        let instances = SetInstances(vec![instance("s1", "print", None)]);
        dispatcher.send(instances).await.expect("it runs");
        let choose = || dispatcher.send(Choose(demand("print", Need::Start, 0, None)));
        for _ in 0..3 {
            drop(choose());
            // The dispatcher receives this message, but its answer is dropped.
            let mut dropped = Box::pin(choose());
            assert!(futures_util::poll!(&mut dropped).is_pending());
        }
        let ticket = choose().await.expect("it runs").expect("s1");
        ticket.choice().own_requests
    });
    assert_eq!(own_requests, 1);
}

fn usage(endpoint: &str, requests: u32, prompt_tokens_to_prefill: &[(u8, u64)]) -> Usage {
    let prompt_tokens_to_prefill = prompt_tokens_to_prefill.iter().copied();
    Usage {
        endpoint: endpoint.parse().expect("a valid name"),
        requests,
        prompt_tokens_to_prefill: prompt_tokens_to_prefill
            .map(|(rank, tokens)| (rank, Tokens::new(tokens)))
            .collect(),
    }
}

fn usage_digest(session: Session, usages: Vec<Usage>) -> PeerDigest {
    PeerDigest {
        session,
        digest: Digest {
            usages,
            ..Digest::default()
        },
    }
}

fn failure_digest(session: Session, endpoints: &[&str]) -> PeerDigest {
    let failed = endpoints.iter().map(|id| id.parse().expect("a valid name"));
    PeerDigest {
        session,
        digest: Digest {
            failed: failed.collect(),
            ..Digest::default()
        },
    }
}

/// Guards against prompts that queue at an engine that is busy with requests of peers, and against
/// peer load that stays counted after the peer has reported its end or its link has closed.
#[test]
fn peer_load_counts_until_it_ends() {
    let (mut balancer, now) = balancer(engines());
    let demand = demand("lm", Need::Start, 4_000, None);
    let session = Session::next();
    let mut results = Vec::new();
    let mut note = |balancer: &mut LoadBalancer, label: &str| {
        let choice = balancer.choose(&demand, now).expect("an engine");
        balancer.finish(&finish(&choice, 4_000, Ending::Served), now);
        results.push(format!(
            "{label}: {} with {} peer requests",
            choice.instance.id, choice.peer_requests
        ));
    };
    balancer.apply_peer_digest(
        usage_digest(session, vec![usage("p1", 3, &[(0, 120_000)])]),
        now,
    );
    note(&mut balancer, "p1 is busy");
    balancer.apply_peer_digest(
        usage_digest(
            session,
            vec![usage("p2", 3, &[(0, 190_000)]), usage("p1", 0, &[])],
        ),
        now,
    );
    note(&mut balancer, "p2 is busy");
    balancer.apply_peer_digest(
        usage_digest(session, vec![usage("p1", 4, &[(0, 220_000)])]),
        now,
    );
    note(&mut balancer, "both are busy");
    balancer.remove_peer(session);
    note(&mut balancer, "link closed");
    insta::assert_debug_snapshot!(results);
}

/// Guards against urgent requests that avoid an engine because of its less urgent backlog, which
/// the engine serves after them.
#[test]
fn less_urgent_backlog_counts_less() {
    let (mut balancer, now) = balancer(engines());
    let session = Session::next();
    let busy = vec![
        usage("p1", 1, &[(0, 9_000)]),
        usage("p2", 1, &[(5, 12_000)]),
    ];
    balancer.apply_peer_digest(usage_digest(session, busy), now);
    let mut demand = demand("lm", Need::Start, 4_000, None);
    let mut chosen = Vec::new();
    for rank in [0, 5] {
        demand.rank = rank;
        let choice = balancer.choose(&demand, now).expect("an engine");
        balancer.finish(&finish(&choice, 4_000, Ending::Served), now);
        chosen.push((rank, choice.instance.id.to_string()));
    }
    insta::assert_debug_snapshot!(chosen);
}

/// Guards against the load of the linked peers being taken for the load of all peers.
#[test]
fn linked_peers_are_extrapolated() {
    let (mut balancer, now) = balancer(vec![instance("s1", "print", None)]);
    balancer.set_peer_coverage(PeerCoverage {
        linked: 2,
        known: 8,
    });
    for _ in 0..2 {
        balancer.apply_peer_digest(
            usage_digest(Session::next(), vec![usage("s1", 3, &[])]),
            now,
        );
    }
    let choice = balancer.choose(&demand("print", Need::Start, 0, None), now);
    insta::assert_debug_snapshot!(choice.expect("s1").peer_requests);
}

/// Returns the endpoints of the plain service that get none of 60 requests.
fn unused(balancer: &mut LoadBalancer, now: Instant) -> Vec<String> {
    let demand = demand("print", Need::Start, 0, None);
    let mut chosen = choices(balancer, &demand, 60, now);
    for id in &chosen {
        let finish = Finish {
            footprint: Footprint::default(),
            endpoint: id.parse().expect("a valid name"),
            rank: 1,
            prompt: Tokens::ZERO,
            ending: Ending::Abandoned,
            pace: None,
            demand: Arc::new(demand.clone()),
        };
        balancer.finish(&finish, now);
    }
    chosen.sort();
    chosen.dedup();
    let known = ["s1", "s2", "s3-far"].map(str::to_owned);
    known
        .into_iter()
        .filter(|id| !chosen.contains(id))
        .collect()
}

/// Guards against processes that each have to see their own failures before they stop using a dead
/// endpoint, and against one process alone taking an endpoint out of use.
#[test]
fn correlated_failures_start_a_backoff() {
    let (mut balancer, start) = balancer(services());
    let [one, other] = [Session::next(), Session::next()];
    let mut results = Vec::new();
    let mut note = |balancer: &mut LoadBalancer, label: &str, now: Instant| {
        results.push(format!("{label}: {:?}", unused(balancer, now)));
    };
    balancer.apply_peer_digest(failure_digest(one, &["s1"]), start);
    balancer.apply_peer_digest(failure_digest(one, &["s1"]), start);
    note(&mut balancer, "one process", start);
    balancer.apply_peer_digest(failure_digest(other, &["s1"]), start);
    note(&mut balancer, "two processes", start);
    let later = start + Duration::from_secs(2);
    note(&mut balancer, "two seconds later", later);
    balancer.apply_peer_digest(failure_digest(one, &["s1"]), later);
    note(&mut balancer, "one process on probation", later);
    let much_later = start + Duration::from_secs(20);
    balancer.apply_peer_digest(failure_digest(one, &["s1"]), much_later);
    note(&mut balancer, "twenty seconds later", much_later);
    insta::assert_debug_snapshot!(results);
}

/// Guards against a process that has lost its own network and reports all endpoints as failed.
#[test]
fn process_that_sees_all_endpoints_fail_is_not_credible() {
    let (mut balancer, now) = balancer(services());
    let [one, other] = [Session::next(), Session::next()];
    balancer.apply_peer_digest(failure_digest(one, &["s1", "s2", "s3-far"]), now);
    balancer.apply_peer_digest(failure_digest(other, &["s2", "s3-far"]), now);
    insta::assert_debug_snapshot!(unused(&mut balancer, now));
}

/// Guards against failures that are not reported to peers or are reported twice, and against
/// reports of a single error answer, which the request may have caused.
#[test]
fn failures_are_reported_once() {
    let (mut balancer, now) = balancer(vec![instance("s1", "print", None)]);
    let demand = demand("print", Need::Start, 0, None);
    let mut results = Vec::new();
    for ending in [Ending::Failed, Ending::Served, Ending::Lost, Ending::Failed] {
        let choice = balancer.choose(&demand, now).expect("s1");
        balancer.finish(&finish(&choice, 0, ending), now);
        results.push((ending, balancer.take_digest(now).failed));
    }
    results.push((Ending::Abandoned, balancer.take_digest(now).failed));
    insta::assert_debug_snapshot!(results);
}

proptest! {
    /// Guards against totals that drift from the usage that the peers last reported, over any
    /// sequence of reports and closed links.
    #[test]
    fn peer_totals_match_last_reports(
        updates in proptest::collection::vec((0_usize..3, 0_u32..4, 0_u64..500, any::<bool>()), 1..40),
    ) {
        let (mut balancer, now) = balancer(vec![instance("s1", "print", None)]);
        let sessions = [(); 3].map(|()| Session::next());
        let mut last_reported = [None; 3];
        for (peer, requests, tokens, ends) in updates {
            if ends {
                balancer.remove_peer(sessions[peer]);
                last_reported[peer] = None;
            } else {
                let usages = vec![usage("s1", requests, &[(0, tokens)])];
                balancer.apply_peer_digest(usage_digest(sessions[peer], usages), now);
                last_reported[peer] = Some(requests);
            }
            let expected: u32 = last_reported.iter().flatten().sum();
            let choice = balancer.choose(&demand("print", Need::Start, 0, None), now).expect("s1");
            balancer.finish(&finish(&choice, 0, Ending::Served), now);
            prop_assert!((choice.peer_requests - f64::from(expected)).abs() < f64::EPSILON);
        }
    }

    /// Guards against the refusal of a request that some engine is expected to answer in time, and
    /// against a refused request that stays counted, after any history of placements.
    #[test]
    fn only_hopeless_requests_are_refused(
        history in proptest::collection::vec((100_u64..60_000, 0_u8..3, any::<bool>()), 0..60),
        waiting in proptest::collection::vec(0_u64..400_000, 4),
        prompt in 100_u64..40_000,
        remaining in 1_u64..8_000,
    ) {
        let (mut balancer, now) = balancer(engines());
        let names = ["p1", "p2", "d1", "d2"];
        let usages = names.iter().zip(&waiting);
        let usages = usages.map(|(engine, tokens)| usage(engine, 2, &[(1, *tokens)])).collect();
        balancer.apply_peer_digest(usage_digest(Session::next(), usages), now);
        for (prompt, rank, ends) in history {
            let mut demand = demand("lm", Need::Start, prompt, None);
            demand.rank = rank;
            let choice = balancer.choose(&demand, now).expect("a minute is left");
            if ends {
                let prefill = choice.prefill_tokens.get();
                balancer.finish(&finish(&choice, prefill, Ending::Served), now);
            }
        }
        let mut request = demand("lm", Need::Start, prompt, None);
        request.remaining = Duration::from_millis(remaining);
        let before = balancer.take_digest(now);
        let Err(error) = balancer.choose(&request, now) else { return Ok(()) };
        prop_assert_eq!(error.kind(), crate::error::Kind::Overloaded);
        prop_assert!(error.retry_after().is_some_and(|period| period < request.remaining));
        prop_assert_eq!(balancer.take_digest(now), before);
        for engine in names {
            let mut only = request.clone();
            only.remaining = Duration::from_hours(1);
            only.excluded = names.iter().filter(|name| **name != engine)
                .map(|name| name.parse().expect("a valid name")).collect();
            let choice = balancer.choose(&only, now).expect("the engine is eligible");
            prop_assert!(choice.forecast > request.remaining, "{engine}: {:?}", choice.forecast);
            balancer.finish(&finish(&choice, choice.prefill_tokens.get(), Ending::Abandoned), now);
        }
    }
}

fn notice(balancer: &mut LoadBalancer, choice: &Choice, pause: &str, now: Instant) {
    let received = NoticeReceived {
        instance: Arc::clone(&choice.instance),
        notice: Notice {
            leaving: pause.is_empty(),
            pause: pause.parse().ok(),
        },
        call: None,
    };
    balancer.record_notice(&received, now);
}

/// Guards against prompts that lose the engine which has their prefix cached because that engine pauses
/// for a second.
#[test]
fn homes_do_not_move_for_a_pause() {
    let (mut balancer, now) = balancer(engines());
    let mut place = |affinity: u64, pause: &str, now: Instant| {
        let demand = demand("lm", Need::Start, 4_000, Some(affinity));
        let choice = balancer.choose(&demand, now).expect("an engine");
        balancer.finish(&finish(&choice, 4_000, Ending::Paused), now);
        if !pause.is_empty() {
            notice(&mut balancer, &choice, pause, now);
        }
        choice.instance.id.to_string()
    };
    let before: Vec<String> = (0..20).map(|affinity| place(affinity, "", now)).collect();
    let paused = place(0, "1", now);
    let during: Vec<String> = (0..20)
        .map(|affinity| place(affinity, "", now + Duration::from_millis(500)))
        .collect();
    let after: Vec<String> = (0..20)
        .map(|affinity| place(affinity, "", now + Duration::from_secs(3)))
        .collect();
    assert!(!during.contains(&paused), "{paused}: {during:?}");
    let others = before
        .iter()
        .zip(&during)
        .filter(|(home, _)| **home != paused);
    assert!(others.clone().count() > 0);
    assert!(others.clone().all(|(home, during)| home == during));
    assert_eq!(before, after);
}

/// Guards against a pause that counts as a failure, and against a refusal that hides that all endpoints
/// have closed.
#[test]
fn refusals_say_whether_endpoints_pause_or_leave() {
    let (mut balancer, now) = balancer(services());
    let demand = demand("print", Need::Start, 0, None);
    let mut outcomes = Vec::new();
    for (seconds, pause) in [(0, "2"), (0, "3"), (0, "9"), (1, "2"), (3, "0"), (9, "0")] {
        let now = now + Duration::from_secs(seconds);
        outcomes.push(match balancer.choose(&demand, now) {
            Ok(choice) => {
                balancer.finish(&finish(&choice, 0, Ending::Paused), now);
                notice(&mut balancer, &choice, pause, now);
                "served".to_owned()
            }
            Err(error) => {
                let seconds = error.retry_after().map(|period| period.as_secs());
                format!("{}, come back after {seconds:?} s", error.detail())
            }
        });
    }
    let now = now + Duration::from_secs(20);
    while let Ok(choice) = balancer.choose(&demand, now) {
        notice(&mut balancer, &choice, "", now);
    }
    let error = balancer.choose(&demand, now).expect_err("all leave");
    outcomes.push(error.detail().to_owned());
    outcomes.push(format!("{:?}", balancer.take_digest(now).failed));
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against requests to endpoints that do not run, which look idle, when most of them have ended at
/// once (LOST).
#[test]
fn endpoints_that_do_not_run_get_no_requests() {
    let engines = (0..9).map(|number| instance(&format!("e{number}"), "lm", None));
    let (mut balancer, now) = balancer(engines.collect());
    let demand = demand("lm", Need::Start, 1_000, None);
    let mut down = 0;
    for step in 0..200_u32 {
        let now = now + Duration::from_millis(10) * (step / 20);
        let choice = balancer.choose(&demand, now).expect("an engine");
        // Five of nine refuse connections.
        let is_down = choice.instance.id.as_str() < "e5";
        down += u32::from(is_down);
        let ending = if is_down {
            Ending::Down
        } else {
            Ending::Served
        };
        balancer.finish(&finish(&choice, 1_000, ending), now);
    }
    assert_eq!(down, 5);
}

/// Guards against a policy whose decisions have no effect on the rank of requests at the engines.
#[test]
fn requests_that_can_only_be_late_give_way() {
    let (balancer, now) = balancer(engines());
    let mut balancer = balancer.with_policy(triage::new(triage::Mode::ByCost));
    let demand = demand("lm", Need::Start, 12_000, None);
    balancer.record_request(&demand, now);
    let mut outcomes = Vec::new();
    for _ in 0..40 {
        let outcome = match balancer.choose(&demand, now) {
            Ok(choice) => format!("rank {}", choice.rank),
            Err(error) => error.to_string(),
        };
        if outcomes.last() != Some(&outcome) {
            outcomes.push(outcome);
        }
    }
    insta::assert_debug_snapshot!(outcomes);
}
