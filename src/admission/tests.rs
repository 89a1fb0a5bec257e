use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::{Rng as _, SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    clock::System,
    config::{CallerSpec, ClassSpec, Document},
    error::{Executed, Kind},
    id::Request,
    routing::{Cost, Pool},
    testing::with_paused_time,
    unit::{Rate, Share, Worth},
};

const CLASSES: [&str; 3] = ["urgent", "normal", "bulk"];
const SHARES: [f64; 3] = [0.5, 0.3, 0.2];

fn pool() -> Pool {
    Pool::Model("m".parse().expect("valid name"))
}

fn document(rate: f64, in_progress: u32) -> Arc<Document> {
    let class = |index: usize| ClassSpec {
        rank: [1, 2, 3][index],
        first_token: Duration::from_secs(1 + 2 * index as u64),
        between_tokens: Duration::from_millis(100),
        whole: Duration::from_secs(20),
        worth: Worth::new(10),
        share: Share::new(SHARES[index]),
    };
    let caller = CallerSpec {
        key_sha256: String::new(),
        classes: Vec::new(),
        rate: Rate::new(rate),
        in_progress,
    };
    Arc::new(Document {
        classes: (0..3)
            .map(|index| (CLASSES[index].parse().expect("valid name"), class(index)))
            .collect(),
        callers: [("a".parse().expect("valid name"), caller)].into(),
        ..Document::default()
    })
}

fn request(number: u128) -> Request {
    Request::from_bytes(number.to_be_bytes())
}

fn offer(number: u128, class: usize, now: Instant) -> Offer {
    Offer {
        request: request(number),
        caller: "a".parse().expect("valid name"),
        class: CLASSES[class].parse().expect("valid name"),
        pool: pool(),
        cost: Cost::default(),
        deadline: now + Duration::from_secs(20),
    }
}

fn capacity(slots: u32) -> Capacity {
    Capacity {
        pool: pool(),
        slots,
    }
}

fn scheduler(policy: Box<dyn Policy>, slots: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(policy, 1.0);
    scheduler.set_document(document(1e9, u32::MAX));
    scheduler.set_capacity(&capacity(slots));
    scheduler
}

/// Runs 10 slots for 30 s of virtual time, with requests of 80 to 120 ms. Class `flooding` offers
/// ten times the capacity, each other class twice its share. Returns the started requests per
/// class, and the ticks in which a class above its share got a slot while one below its share
/// had a queue.
fn run_flood(policy: Box<dyn Policy>, flooding: usize, seed: u64) -> ([u32; 3], u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scheduler = scheduler(policy, 10);
    let mut now = Instant::now();
    let (mut number, mut started, mut violations) = (0, [0; 3], 0);
    let mut queued = [0; 3];
    let mut classes = BTreeMap::new();
    let mut ends: Vec<(Instant, Request)> = Vec::new();
    for _ in 0..3_000 {
        for (class, share) in SHARES.iter().enumerate() {
            // Ten slots serve one request per tick of 10 ms; a flood offers ten per tick.
            let probability = if class == flooding { 1.0 } else { 0.2 * share };
            for _ in 0..if rng.random_bool(probability) { 10 } else { 0 } {
                number += 1;
                classes.insert(request(number), class);
                let outcome = scheduler.offer(&offer(number, class, now), now);
                queued[class] += u32::from(outcome.is_ok());
            }
        }
        let before = started;
        for decision in scheduler.poll(now) {
            let class = classes[&decision.request];
            queued[class] -= 1;
            if decision.outcome.is_ok() {
                started[class] += 1;
                let length = Duration::from_millis(rng.random_range(80..120));
                ends.push((now + length, decision.request));
            }
        }
        let running = scheduler.running(&pool());
        let running = |class: usize| running.get(&CLASSES[class].parse().expect("valid name"));
        let fraction = |class| running(class).map_or(0.0, |count| f64::from(*count) / 10.0);
        let below = (0..3).any(|class| queued[class] > 0 && fraction(class) < SHARES[class]);
        let above =
            (0..3).any(|class| started[class] > before[class] && fraction(class) > SHARES[class]);
        violations += u32::from(below && above);
        now += Duration::from_millis(10);
        let (ended, running) = ends.into_iter().partition(|(end, _)| *end <= now);
        ends = running;
        let ended: Vec<(Instant, Request)> = ended;
        for (_, id) in ended {
            scheduler.finish(id, now);
        }
    }
    (started, violations)
}

/// Guards against a flood of one class that takes the guaranteed share of another.
#[test]
fn flood_does_not_take_guaranteed_shares() {
    for class in 0..3 {
        for seed in 0..3 {
            let (started, violations) = run_flood(Box::new(Shares), class, seed);
            assert_eq!(violations, 0, "{class} {seed}");
            let total = f64::from(started.iter().sum::<u32>());
            for (other, share) in SHARES.iter().enumerate() {
                let fraction = f64::from(started[other]) / total;
                // Shares are fractions of slots; random lengths shift the fractions of requests.
                assert!(fraction > share * 0.95, "{class} {seed} {started:?}");
            }
        }
    }
    // The same load starves a class under a policy without shares.
    let (strict, violations) = run_flood(Box::new(StrictPriority), 0, 0);
    assert!(violations > 0 && strict[2] * 20 < strict[0], "{strict:?}");
}

/// Guards against idle slots while requests are queued, and against lent slots that do not return
/// to the class whose share they are.
#[test]
fn idle_shares_are_lent_and_taken_back() {
    let now = Instant::now();
    let mut results = Vec::new();
    let policies: [(&str, Box<dyn Policy>); 3] = [
        ("fifo", Box::new(Fifo)),
        ("strict", Box::new(StrictPriority)),
        ("shares", Box::new(Shares)),
    ];
    for (label, policy) in policies {
        let mut scheduler = scheduler(policy, 10);
        for number in 0..20 {
            scheduler
                .offer(&offer(number, 2, now), now)
                .expect("queued");
        }
        scheduler.poll(now);
        results.push(format!(
            "{label}, bulk alone: {:?}",
            scheduler.running(&pool())
        ));
        for number in 20..40 {
            let class = number as usize % 2;
            scheduler
                .offer(&offer(number, class, now), now)
                .expect("queued");
        }
        (0..9).for_each(|number| scheduler.finish(request(number), now));
        scheduler.poll(now);
        results.push(format!(
            "{label}, nine ended: {:?}",
            scheduler.running(&pool())
        ));
    }
    insta::assert_debug_snapshot!(results);
}

/// Guards against a queue that grows without bound, and against a refusal without `retry_after`.
#[test]
fn requests_that_cannot_meet_their_target_are_refused() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(Box::new(Shares), 2);
    scheduler.offer(&offer(0, 0, now), now).expect("queued");
    scheduler.poll(now);
    now += Duration::from_millis(400);
    scheduler.finish(request(0), now);
    let refused = (1..100).find_map(|number| {
        let error = scheduler.offer(&offer(number, 0, now), now).err();
        scheduler.poll(now);
        error.map(|error| (number, error))
    });
    let (number, error) = refused.expect("the queue is bounded");
    assert_eq!(
        (error.kind(), error.executed()),
        (Kind::Overloaded, Executed::No)
    );
    assert!(error.retry_after().is_some());
    assert_eq!(
        number, 7,
        "two run, four wait 200 ms each, the fifth would wait a second"
    );
    now += Duration::from_secs(1);
    let expired = scheduler.poll(now);
    assert!(expired.iter().all(|decision| decision.outcome.is_err()));
    assert_eq!((expired.len(), scheduler.next_expiry()), (4, None));
}

/// Guards against a limit that ignores the queueing factor, or that is 0 for a pool with slots.
#[test]
fn pool_limit_is_slots_times_queueing() {
    let now = Instant::now();
    let limit = |queueing, slots| {
        let mut scheduler = Scheduler::new(Box::new(Shares), queueing);
        scheduler.set_document(document(1e9, u32::MAX));
        scheduler.set_capacity(&capacity(slots));
        for number in 0..50 {
            drop(scheduler.offer(&offer(number, 0, now), now));
        }
        scheduler.poll(now).len()
    };
    let limits = [(1.25, 8), (1.0, 8), (0.25, 8), (0.25, 1), (1.25, 0)].map(|(q, s)| limit(q, s));
    assert_eq!(limits, [10, 8, 2, 1, 0]);
}

/// Guards against a caller that exceeds its request rate or its limit of requests in progress.
#[test]
fn callers_are_limited() {
    let now = Instant::now();
    let mut scheduler = scheduler(Box::new(Shares), 100);
    scheduler.set_document(document(5.0, 3));
    let mut results = Vec::new();
    for number in 0..7 {
        let outcome = scheduler.offer(&offer(number, 0, now), now);
        results.push(match outcome {
            Ok(()) => "queued".to_owned(),
            Err(error) => format!("{error}, retry after {:?}", error.retry_after()),
        });
        if number == 3 {
            (0..3).for_each(|number| scheduler.finish(request(number), now));
        }
    }
    insta::assert_debug_snapshot!(results);
}

/// Guards against a slot that leaks when the receiver of the answer is gone or a permit is dropped.
#[test]
fn dropped_permits_free_their_slots() {
    with_paused_time(async {
        let clock = System::shared();
        let controller = spawn(Config::new(Arc::clone(&clock)).queueing(1.0));
        controller
            .send(SetDocument(document(1e9, 100)))
            .await
            .expect("running");
        controller.send(capacity(1)).await.expect("running");
        let first = controller
            .send(offer(1, 0, clock.now()))
            .await
            .expect("running");
        let canceled = controller.send(offer(2, 0, clock.now()));
        let answer = tokio::time::timeout(Duration::from_millis(10), canceled).await;
        answer.expect_err("the only slot is taken");
        let last = controller.send(offer(3, 0, clock.now()));
        drop(first.expect("admitted"));
        let third = last.await.expect("running");
        drop(third.expect("admitted"));
        let held = controller
            .send(offer(4, 0, clock.now()))
            .await
            .expect("running");
        let late = controller
            .send(offer(5, 0, clock.now()))
            .await
            .expect("running");
        let _held = held.expect("admitted");
        assert_eq!(late.expect_err("expires").kind(), Kind::Overloaded);
        let waiting = controller.send(offer(6, 0, clock.now()));
        let withdraw = controller.send(ReleaseSlot(request(6)));
        let (waiting, withdrawn) = futures_util::join!(waiting, withdraw);
        withdrawn.expect("running");
        let error = waiting.expect("running").expect_err("withdrawn");
        assert_eq!(
            (error.kind(), error.executed()),
            (Kind::Leaving, Executed::No)
        );
    });
}

proptest! {
    /// Guards against slots that leak or stay idle while requests are queued, a limit that is
    /// exceeded, and offers that get no answer or two.
    #[test]
    fn each_offer_gets_one_answer(
        steps in prop::collection::vec((0..3_usize, 0..4_u32, 0..400_u64), 1..80),
        which in 0..3_usize,
    ) {
        let policies: [fn() -> Box<dyn Policy>; 3] =
            [|| Box::new(Fifo), || Box::new(StrictPriority), || Box::new(Shares)];
        let mut scheduler = scheduler(policies[which](), 3);
        let mut now = Instant::now();
        let mut running: Vec<Request> = Vec::new();
        let mut answers: BTreeMap<Request, u32> = BTreeMap::new();
        for (number, (class, action, millis)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(millis);
            let offer = offer(number as u128, class, now);
            let refused = scheduler.offer(&offer, now).is_err();
            answers.insert(offer.request, u32::from(refused));
            if action == 0 && !running.is_empty() {
                scheduler.finish(running.remove(0), now);
            }
            for decision in scheduler.poll(now) {
                *answers.entry(decision.request).or_default() += 1;
                running.extend(decision.outcome.is_ok().then_some(decision.request));
            }
            prop_assert!(running.len() <= 3);
            let idle = running.len() < 3;
            prop_assert!(!idle || answers.values().all(|count| *count == 1), "idle slot");
            let counted: u32 = scheduler.running(&pool()).values().sum();
            prop_assert_eq!(counted as usize, running.len());
        }
        now += Duration::from_mins(1);
        for id in running {
            scheduler.finish(id, now);
        }
        for decision in scheduler.poll(now) {
            *answers.entry(decision.request).or_default() += 1;
        }
        prop_assert!(answers.values().all(|count| *count == 1));
        prop_assert_eq!(scheduler.running(&pool()).values().sum::<u32>(), 0);
    }
}
