use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;

use super::*;
use crate::{
    clock::System,
    directory::{Instance, Stage},
    id::{Endpoint, Zone},
    link::Session,
    testing::on_virtual_time,
    unit::Tokens,
    wire::{Digest, Usage},
};

fn zone(name: &str) -> Zone {
    name.parse().expect("a valid name")
}

fn instance(id: &str, service: &str, stage: Option<Stage>) -> Arc<Instance> {
    Arc::new(Instance {
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
        prompt: Tokens::new(prompt),
        shared: Tokens::new(prompt / 2),
        affinity,
        avoid: Vec::new(),
        near: None,
    }
}

fn finish(choice: &Choice, prompt: u64, ending: Ending) -> Finish {
    Finish {
        endpoint: choice.instance.id.clone(),
        rank: choice.rank,
        prompt: Tokens::new(prompt),
        ending,
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

fn board(instances: Vec<Arc<Instance>>) -> (Board, Instant) {
    let now = Instant::now();
    let mut board = Board::new(zone("a"), 1);
    board.replace(instances, now);
    (board, now)
}

/// Chooses for several requests that stay in progress, and names the endpoints.
fn choices(board: &mut Board, demand: &Demand, count: usize, now: Instant) -> Vec<String> {
    let choose = |_| match board.choose(demand, now) {
        Ok(choice) => choice.instance.id.to_string(),
        Err(error) => error.kind().to_string(),
    };
    (0..count).map(choose).collect()
}

/// Guards against work that piles up at one endpoint, or that leaves its zone without need.
#[test]
fn services_are_used_evenly_and_nearby_first() {
    let (mut board, now) = board(services());
    let demand = demand("print", Need::Start, 0, None);
    let mut chosen = choices(&mut board, &demand, 6, now);
    chosen[..2].sort();
    chosen[2..3].sort();
    chosen[3..5].sort();
    insta::assert_debug_snapshot!(chosen);
}

/// Guards against engines that are never given prompts because tokens stay counted there that they
/// do not read.
#[test]
fn decode_steps_leave_no_prompt_behind() {
    let (mut board, now) = board(engines());
    for _ in 0..50 {
        let choice = board
            .choose(&demand("lm", Need::Decode, 12_000, None), now)
            .expect("a decode engine");
        assert_eq!(choice.instance.stage, Some(Stage::Decode));
        board.finish(&finish(&choice, 0, Ending::Served), now);
    }
    // Idle engines: a short prompt is read where it is decoded, which saves the transfer.
    let choice = board.choose(&demand("lm", Need::Start, 20, None), now);
    assert_eq!(
        choice.expect("an engine").instance.stage,
        Some(Stage::Decode)
    );
}

/// Guards against prompts that are all read by engines of one stage while the others are idle.
#[test]
fn long_prompts_are_read_apart_until_those_engines_are_busy() {
    let (mut board, now) = board(engines());
    let demand = demand("lm", Need::Start, 4_000, None);
    insta::assert_debug_snapshot!(choices(&mut board, &demand, 8, now));
}

/// Guards against shared prompt parts that are read by every engine, and against homes that move
/// when another engine leaves.
#[test]
fn shared_parts_stay_at_their_home() {
    let (mut board, now) = board(engines());
    let homes = |board: &mut Board| -> Vec<String> {
        (0..8)
            .map(|affinity| {
                let demand = demand("lm", Need::Start, 4_000, Some(affinity));
                let choice = board.choose(&demand, now).expect("an engine");
                board.finish(&finish(&choice, 4_000, Ending::Served), now);
                choice.instance.id.to_string()
            })
            .collect()
    };
    let before = homes(&mut board);
    assert_eq!(homes(&mut board), before);
    let left = engines()
        .into_iter()
        .filter(|engine| engine.id.as_str() != "p1");
    board.replace(left.collect(), now);
    let after = homes(&mut board);
    let stayed = before.iter().zip(&after).filter(|(old, _)| *old != "p1");
    assert!(stayed.clone().count() > 0, "no prompt had another home");
    assert!(
        stayed.clone().all(|(old, new)| old == new),
        "{before:?} {after:?}"
    );
}

/// Guards against requests for endpoints that are leaving, were tried already, or have failed.
#[test]
fn unusable_endpoints_are_passed_over() {
    let (mut board, now) = board(services());
    let mut results = Vec::new();

    let mut leaving = services();
    Arc::make_mut(&mut leaving[0]).draining = true;
    board.replace(leaving, now);
    let mut demand = demand("print", Need::Start, 0, None);
    results.push(format!(
        "s1 leaves: {:?}",
        choices(&mut board, &demand, 4, now)
    ));

    demand.avoid = vec!["s2".parse().expect("a valid name")];
    results.push(format!(
        "s2 was tried: {:?}",
        choices(&mut board, &demand, 2, now)
    ));

    board.replace(services(), now);
    demand.avoid = vec![
        "s1".parse().expect("a name"),
        "s3-far".parse().expect("a name"),
    ];
    for _ in 0..3 {
        let choice = board.choose(&demand, now).expect("s2");
        board.finish(&finish(&choice, 0, Ending::Failed), now);
    }
    demand.avoid.clear();
    results.push(format!(
        "s2 is ejected: {:?}",
        choices(&mut board, &demand, 4, now)
    ));

    let later = now + Duration::from_mins(1);
    results.push(format!(
        "later: {:?}",
        choices(&mut board, &demand, 4, later)
    ));

    board.replace(Vec::new(), now);
    results.push(format!(
        "none is left: {:?}",
        choices(&mut board, &demand, 1, now)
    ));
    insta::assert_debug_snapshot!(results);
}

/// Guards against a choice that ignores the work of other processes, or trusts an old report.
#[test]
fn reports_of_other_work_count_while_they_are_fresh() {
    let (mut board, now) = board(services());
    let busy = Progress {
        endpoint: "s1".parse().expect("a valid name"),
        rank: 0,
        prompt: Tokens::ZERO,
        load: Some(Load {
            running: 4,
            waiting: 4,
            slots: 4,
        }),
    };
    board.progress(&busy, now);
    let demand = demand("print", Need::Start, 0, None);
    let fresh = choices(&mut board, &demand, 4, now);
    let later = now + Duration::from_secs(3);
    let old = choices(&mut board, &demand, 2, later);
    insta::assert_debug_snapshot!((fresh, old));
}

/// Guards against more repeats than the shared budget allows, and against repeats that use it up
/// for another service.
#[test]
fn repeats_are_a_part_of_requests() {
    let (mut board, now) = board([engines(), services()].concat());
    let print = "print".parse().expect("a valid name");
    let granted = |board: &mut Board| (0..40).filter(|_| board.may_repeat(&print, now)).count();
    let at_rest = granted(&mut board);
    let models = "lm".parse().expect("a valid name");
    (0..100).for_each(|_| board.record(&models, now));
    let after_others = granted(&mut board);
    (0..100).for_each(|_| board.record(&print, now));
    let after_own = granted(&mut board);
    insta::assert_debug_snapshot!([at_rest, after_others, after_own]);
}

/// Guards against a process that goes on sending to an address that another endpoint has now.
#[test]
fn replaced_endpoint_is_forgotten() {
    let (mut board, now) = board(vec![instance("s1", "print", None)]);
    let demand = demand("print", Need::Start, 0, None);
    let choice = board.choose(&demand, now).expect("s1");
    board.finish(&finish(&choice, 0, Ending::Replaced), now);
    assert_eq!(choices(&mut board, &demand, 1, now), ["no-endpoint"]);
    let known: Endpoint = "s1".parse().expect("a valid name");
    board.replace(vec![instance("s1", "print", None)], now);
    assert_eq!(choices(&mut board, &demand, 1, now), [known.to_string()]);
}

/// Guards against work that stays counted at an endpoint after its caller has left while the
/// endpoint was being chosen.
#[test]
fn caller_that_leaves_early_leaves_nothing_behind() {
    let own = on_virtual_time(async {
        let dispatcher = spawn(Config::new(System::shared(), zone("a")));
        let members = Members(vec![instance("s1", "print", None)]);
        dispatcher.send(members).await.expect("it runs");
        let choose = || dispatcher.send(Choose(demand("print", Need::Start, 0, None)));
        for _ in 0..3 {
            drop(choose());
            // Received, but its answer is not taken.
            let mut left = Box::pin(choose());
            assert!(futures_util::poll!(&mut left).is_pending());
        }
        let ticket = choose().await.expect("it runs").expect("s1");
        ticket.choice().own
    });
    assert_eq!(own, 1);
}

fn usage(endpoint: &str, requests: u32, unread: &[(u8, u64)]) -> Usage {
    let unread = unread.iter().copied();
    Usage {
        endpoint: endpoint.parse().expect("a valid name"),
        requests,
        unread: unread
            .map(|(rank, tokens)| (rank, Tokens::new(tokens)))
            .collect(),
    }
}

fn told(session: Session, usages: Vec<Usage>) -> PeerDigest {
    PeerDigest {
        session,
        digest: Digest {
            usages,
            failed: Vec::new(),
        },
    }
}

fn failed(session: Session, endpoints: &[&str]) -> PeerDigest {
    let failed = endpoints.iter().map(|id| id.parse().expect("a valid name"));
    PeerDigest {
        session,
        digest: Digest {
            usages: Vec::new(),
            failed: failed.collect(),
        },
    }
}

/// Guards against prompts that queue at an engine that other processes have filled, and against work
/// that stays counted after its process has said that it has ended, or has gone.
#[test]
fn told_work_of_others_counts_until_it_ends() {
    let (mut board, now) = board(engines());
    let demand = demand("lm", Need::Start, 4_000, None);
    let session = Session::next();
    let mut results = Vec::new();
    let mut note = |board: &mut Board, what: &str| {
        let choice = board.choose(&demand, now).expect("an engine");
        board.finish(&finish(&choice, 4_000, Ending::Served), now);
        results.push(format!(
            "{what}: {} with {} of others",
            choice.instance.id, choice.others
        ));
    };
    board.hear(told(session, vec![usage("p1", 3, &[(0, 120_000)])]), now);
    note(&mut board, "p1 is busy");
    board.hear(
        told(
            session,
            vec![usage("p2", 3, &[(0, 190_000)]), usage("p1", 0, &[])],
        ),
        now,
    );
    note(&mut board, "p2 is busy");
    board.hear(told(session, vec![usage("p1", 4, &[(0, 220_000)])]), now);
    note(&mut board, "both are busy");
    board.forget_peer(session);
    note(&mut board, "the process has gone");
    insta::assert_debug_snapshot!(results);
}

/// Guards against urgent requests that avoid an engine because of less urgent ones, which it serves
/// later.
#[test]
fn less_urgent_prompts_count_less() {
    let (mut board, now) = board(engines());
    let session = Session::next();
    let busy = vec![
        usage("p1", 1, &[(0, 9_000)]),
        usage("p2", 1, &[(5, 12_000)]),
    ];
    board.hear(told(session, busy), now);
    let mut demand = demand("lm", Need::Start, 4_000, None);
    let mut chosen = Vec::new();
    for rank in [0, 5] {
        demand.rank = rank;
        let choice = board.choose(&demand, now).expect("an engine");
        board.finish(&finish(&choice, 4_000, Ending::Served), now);
        chosen.push((rank, choice.instance.id.to_string()));
    }
    insta::assert_debug_snapshot!(chosen);
}

/// Guards against a sample of processes that is taken for all of them.
#[test]
fn linked_processes_stand_for_the_others() {
    let (mut board, now) = board(vec![instance("s1", "print", None)]);
    board.set_audience(Audience {
        linked: 2,
        known: 8,
    });
    for _ in 0..2 {
        board.hear(told(Session::next(), vec![usage("s1", 3, &[])]), now);
    }
    let choice = board.choose(&demand("print", Need::Start, 0, None), now);
    insta::assert_debug_snapshot!(choice.expect("s1").others);
}

/// Endpoints of a plain service that a board does not use now.
fn resting(board: &mut Board, now: Instant) -> Vec<String> {
    let demand = demand("print", Need::Start, 0, None);
    let mut chosen = choices(board, &demand, 60, now);
    for id in &chosen {
        let finish = Finish {
            endpoint: id.parse().expect("a valid name"),
            rank: 1,
            prompt: Tokens::ZERO,
            ending: Ending::Abandoned,
        };
        board.finish(&finish, now);
    }
    chosen.sort();
    chosen.dedup();
    let known = ["s1", "s2", "s3-far"].map(str::to_owned);
    known
        .into_iter()
        .filter(|id| !chosen.contains(id))
        .collect()
}

/// Guards against processes that each have to find out by their own failures that an endpoint is
/// dead, and against an endpoint that rests on the word of one process.
#[test]
fn failures_that_several_processes_see_make_an_endpoint_rest() {
    let (mut board, start) = board(services());
    let [one, other] = [Session::next(), Session::next()];
    let mut results = Vec::new();
    let mut note = |board: &mut Board, what: &str, now: Instant| {
        results.push(format!("{what}: {:?}", resting(board, now)));
    };
    board.hear(failed(one, &["s1"]), start);
    board.hear(failed(one, &["s1"]), start);
    note(&mut board, "one process", start);
    board.hear(failed(other, &["s1"]), start);
    note(&mut board, "two processes", start);
    let later = start + Duration::from_secs(2);
    note(&mut board, "two seconds later", later);
    board.hear(failed(one, &["s1"]), later);
    note(&mut board, "one process once more", later);
    let much_later = start + Duration::from_secs(20);
    board.hear(failed(one, &["s1"]), much_later);
    note(&mut board, "long after", much_later);
    insta::assert_debug_snapshot!(results);
}

/// Guards against a process that has lost its own network and declares the endpoints dead.
#[test]
fn process_that_sees_all_endpoints_fail_is_not_believed() {
    let (mut board, now) = board(services());
    let [one, other] = [Session::next(), Session::next()];
    board.hear(failed(one, &["s1", "s2", "s3-far"]), now);
    board.hear(failed(other, &["s2", "s3-far"]), now);
    insta::assert_debug_snapshot!(resting(&mut board, now));
}

/// Guards against failures that other processes are not told, are told twice, or that lie in the
/// request.
#[test]
fn failures_are_told_once() {
    let (mut board, now) = board(vec![instance("s1", "print", None)]);
    let demand = demand("print", Need::Start, 0, None);
    let mut results = Vec::new();
    for ending in [Ending::Failed, Ending::Served, Ending::Lost, Ending::Failed] {
        let choice = board.choose(&demand, now).expect("s1");
        board.finish(&finish(&choice, 0, ending), now);
        results.push((ending, board.survey().failed));
    }
    results.push((Ending::Abandoned, board.survey().failed));
    insta::assert_debug_snapshot!(results);
}

proptest! {
    /// Guards against totals that drift from what the processes last told, over any sequence of
    /// messages and broken links.
    #[test]
    fn totals_follow_what_was_told_last(
        told_work in proptest::collection::vec((0_usize..3, 0_u32..4, 0_u64..500, any::<bool>()), 1..40),
    ) {
        let (mut board, now) = board(vec![instance("s1", "print", None)]);
        let sessions = [(); 3].map(|()| Session::next());
        let mut last = [None; 3];
        for (peer, requests, tokens, ends) in told_work {
            if ends {
                board.forget_peer(sessions[peer]);
                last[peer] = None;
            } else {
                let usages = vec![usage("s1", requests, &[(0, tokens)])];
                board.hear(told(sessions[peer], usages), now);
                last[peer] = Some(requests);
            }
            let expected: u32 = last.iter().flatten().sum();
            let choice = board.choose(&demand("print", Need::Start, 0, None), now).expect("s1");
            board.finish(&finish(&choice, 0, Ending::Served), now);
            prop_assert!((choice.others - f64::from(expected)).abs() < f64::EPSILON);
        }
    }
}
