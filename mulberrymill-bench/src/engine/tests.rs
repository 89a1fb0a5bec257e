use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mulberrymill::{
    clock::Manual,
    id::Fence,
    unit::{Bytes, Share, Tokens},
    wire::{Change, Role},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

mod http;

fn config() -> Config {
    Config {
        models: vec!["m".parse().expect("a name")],
        ..Config::default()
    }
}

fn engine(config: Config) -> (Manual, Model) {
    let clock = Manual::new();
    let model = Model::new(config, Arc::new(clock.clone()));
    (clock, model)
}

fn request(prompt: &str, output: u64, priority: u8) -> Generate {
    Generate {
        model: "m".parse().expect("a name"),
        prompt: prompt.to_owned(),
        output: Tokens::new(output),
        resume: Bytes::ZERO,
        priority,
    }
}

/// Runs until idle and lists every event except text, with its time in milliseconds.
fn run(clock: &Manual, model: &mut Model) -> Vec<String> {
    let mut lines = Vec::new();
    while let Some(due) = model.due() {
        clock.advance(due.saturating_duration_since(mulberrymill::clock::Clock::now(clock)));
        for output in model.poll() {
            if !matches!(output, Output::Text(..)) {
                lines.push(format!("{} ms {output:?}", clock.elapsed().as_millis()));
            }
        }
    }
    lines
}

fn text(outputs: &[Output]) -> String {
    let parts = outputs.iter().filter_map(|output| match output {
        Output::Text(_, text) => Some(text.as_str()),
        _ => None,
    });
    parts.collect()
}

/// Guards against a resumed answer that differs from the uninterrupted one.
#[test]
fn answers_resume_at_any_byte() {
    let prompt = "is there celery in the soup?";
    let whole = Text::new(&request(prompt, 6, 0).model, prompt).whole(Tokens::new(6));
    for resume in 0..=24 {
        let (clock, mut model) = engine(config());
        let mut work = request(prompt, 6, 0);
        work.resume = Bytes::new(resume);
        model.submit(Job::new(1), &work).expect("accepted");
        clock.advance(Duration::from_secs(1));
        let cut = usize::try_from(resume).expect("small");
        assert_eq!(text(&model.poll()), whole[cut..]);
    }
    insta::assert_snapshot!(whole);
}

/// Guards against a batch that serves less urgent requests first or loses preempted ones.
#[test]
fn urgent_requests_preempt() {
    let (clock, mut model) = engine(Config {
        batch: 2,
        ..config()
    });
    for (job, priority) in [(1, 5), (2, 5), (3, 0), (4, 1)] {
        let work = request(&"menu ".repeat(400), 50, priority);
        model.submit(Job::new(job), &work).expect("accepted");
    }
    insta::assert_debug_snapshot!((run(&clock, &mut model), model.tally()));
}

/// Guards against a sequence that never completes because the cache has no free block.
#[test]
fn full_cache_preempts_and_completes_requests() {
    let (clock, mut model) = engine(Config {
        blocks: 10,
        ..config()
    });
    for job in 1..=4 {
        let work = request(&format!("{job}{}", "x".repeat(500)), 300, 1);
        model.submit(Job::new(job), &work).expect("accepted");
    }
    let lines = run(&clock, &mut model);
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(model.tally().preempted > 0);
    assert!(model.current_load().cache.get().abs() < f64::EPSILON);
}

/// Guards against a prefix cache that saves no prefill, and an export without the cached blocks.
#[test]
fn cached_and_imported_prefixes_save_prefill() {
    let prompt = "ingredient ".repeat(1_000);
    let (clock, mut first) = engine(config());
    first
        .submit(Job::new(1), &request(&prompt, 1, 0))
        .expect("accepted");
    let cold = run(&clock, &mut first);
    let start = clock.elapsed();
    first
        .submit(Job::new(2), &request(&prompt, 1, 0))
        .expect("accepted");
    run(&clock, &mut first);
    let warm = clock.elapsed().saturating_sub(start);
    let (clock, mut second) = engine(config());
    let blocks = first.export(&request("", 1, 0).model, &prompt);
    let imported = second.import(&blocks);
    second
        .submit(Job::new(1), &request(&prompt, 1, 0))
        .expect("accepted");
    let other = run(&clock, &mut second);
    insta::assert_debug_snapshot!((cold, warm, imported, other));
}

/// Guards against concurrent orders and against orders with a stale fencing number.
#[test]
fn stale_and_concurrent_orders_are_refused() {
    let fence = |number| Some(Fence::new(number));
    let table: Vec<String> = [true, false]
        .into_iter()
        .flat_map(|fenced| {
            let (clock, mut model) = engine(Config { fenced, ..config() });
            let mut lines = Vec::new();
            let mut order = |model: &mut Model, change, number| {
                let result = model.order(change, fence(number));
                lines.push(format!("fenced={fenced} {number}: {result:?}"));
            };
            order(&mut model, Change::Role(Role::Prefill), 5);
            order(&mut model, Change::Drain, 6);
            clock.advance(Duration::from_secs(5));
            order(&mut model, Change::Role(Role::Decode), 4);
            lines.extend(run(&clock, &mut model));
            lines.push(format!(
                "{:?} {:?}",
                model.current_load().role,
                model.tally()
            ));
            lines
        })
        .collect();
    insta::assert_debug_snapshot!(table);
}

/// Guards against a role change that breaks a stream, and a crash that leaves its streams open.
#[test]
fn role_changes_pause_and_crashes_break_requests() {
    let (clock, mut model) = engine(config());
    model
        .submit(Job::new(1), &request("p", 10, 0))
        .expect("accepted");
    model
        .order(Change::Role(Role::Decode), None)
        .expect("accepted");
    let refused = model.submit(Job::new(2), &request("p", 10, 0));
    let stalled = run(&clock, &mut model);
    model
        .submit(Job::new(3), &request("p", 10, 0))
        .expect("accepted");
    model.fault(Fault::CrashNextChange);
    model
        .order(Change::Role(Role::Mixed), None)
        .expect("accepted");
    let crashed = run(&clock, &mut model);
    let down = model.submit(Job::new(4), &request("p", 10, 0));
    model.fault(Fault::Restart);
    model
        .submit(Job::new(5), &request("p", 1, 0))
        .expect("accepted");
    let back = run(&clock, &mut model);
    let refused = [refused, down].map(|result| result.expect_err("refused").to_string());
    insta::assert_debug_snapshot!((refused, stalled, crashed, back));
}

/// Guards against load reports without the configured delay, and reports that continue under the
/// `stale_reports` fault.
#[test]
fn load_reports_are_delayed() {
    let (clock, mut model) = engine(config());
    model
        .submit(Job::new(1), &request(&"x".repeat(40_000), 100, 0))
        .expect("accepted");
    let mut lines = Vec::new();
    for frozen in [false, true] {
        model.fault(Fault::StaleReports { on: frozen });
        for _ in 0..4 {
            clock.advance(Duration::from_millis(400));
            let (report, age) = model.load();
            lines.push(format!("{} prefill, age {age:?}", report.prefill));
        }
    }
    insta::assert_debug_snapshot!(lines);
}

/// Guards against cache events without delay or loss, which would hide a dependency of routing
/// on either.
#[test]
fn cache_events_are_delayed_and_lossy() {
    let (clock, mut model) = engine(Config {
        event_loss: Share::new(0.3),
        ..config()
    });
    model
        .submit(Job::new(1), &request(&"x".repeat(4_000), 1, 0))
        .expect("accepted");
    run(&clock, &mut model);
    let early = model.events(0).len();
    clock.advance(Duration::from_secs(1));
    let numbers = model.events(0).into_iter().map(|event| event.sequence);
    insta::assert_debug_snapshot!((early, numbers.collect::<Vec<_>>()));
}

/// Guards against model delays at speed 0, which would be measured as overhead of the gateway.
#[test]
fn speed_zero_takes_no_time() {
    let (clock, mut model) = engine(Config {
        speed: 0.0,
        ..config()
    });
    model
        .submit(Job::new(1), &request("p", 500, 0))
        .expect("accepted");
    assert_eq!(text(&model.poll()).len(), 2_000);
    assert_eq!(clock.elapsed(), Duration::ZERO);
}

/// Guards against leaked blocks and corrupt answers when requests are preempted, cancelled and
/// resumed in random order.
#[test]
fn random_preemptions_keep_answers_and_free_blocks() {
    let mut preempted = 0;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (clock, mut model) = engine(Config {
            blocks: 14,
            batch: 6,
            ..config()
        });
        let mut expected = BTreeMap::new();
        let mut texts: BTreeMap<Job, String> = BTreeMap::new();
        for number in 0..60 {
            let prompt = "menu ".repeat(rng.random_range(1..200));
            let work = Generate {
                resume: Bytes::new(rng.random_range(0..8)),
                ..request(&prompt, rng.random_range(2..120), rng.random_range(0..4))
            };
            let whole = Text::new(&work.model, &prompt).whole(work.output);
            let from = usize::try_from(work.resume.get()).expect("small");
            let job = Job::new(number);
            model.submit(job, &work).expect("accepted");
            expected.insert(job, whole[from..].to_owned());
            if rng.random_bool(0.2) {
                let cancelled = Job::new(rng.random_range(0..=number));
                model.cancel(cancelled);
                expected.remove(&cancelled);
            }
            clock.advance(Duration::from_millis(rng.random_range(0..300)));
            collect(&mut model, &mut texts, &mut expected, seed);
        }
        while let Some(due) = model.due() {
            let now = mulberrymill::clock::Clock::now(&clock);
            clock.advance(due.saturating_duration_since(now));
            collect(&mut model, &mut texts, &mut expected, seed);
        }
        assert_eq!(expected, BTreeMap::new(), "seed {seed}");
        let used = model.current_load().cache;
        assert!(
            used.get().abs() < f64::EPSILON,
            "seed {seed}: {used} in use"
        );
        preempted += model.tally().preempted;
    }
    assert!(
        preempted > 1_000,
        "only {preempted} sequences were preempted"
    );
}

/// Appends the texts, and verifies and removes each job of `expected` that ended.
fn collect(
    model: &mut Model,
    texts: &mut BTreeMap<Job, String>,
    expected: &mut BTreeMap<Job, String>,
    seed: u64,
) {
    for output in model.poll() {
        match output {
            Output::Text(job, text) => texts.entry(job).or_default().push_str(&text),
            Output::End(job, ..) => {
                if let Some(whole) = expected.remove(&job) {
                    let text = texts.remove(&job).unwrap_or_default();
                    assert_eq!(text, whole, "seed {seed}, job {job}");
                }
            }
            other => panic!("seed {seed}: {other:?}"),
        }
    }
}

/// Guards against a drain that interrupts requests or accepts new ones.
#[test]
fn drain_completes_requests_and_refuses_new_ones() {
    let (clock, mut model) = engine(config());
    model
        .submit(Job::new(1), &request("p", 3, 0))
        .expect("accepted");
    model.order(Change::Drain, None).expect("accepted");
    let refused = model.submit(Job::new(2), &request("p", 3, 0));
    let mut lines = vec![refused.expect_err("draining").to_string()];
    lines.extend(run(&clock, &mut model));
    model.order(Change::Resume, None).expect("accepted");
    model
        .submit(Job::new(3), &request("p", 3, 0))
        .expect("accepted");
    lines.extend(run(&clock, &mut model));
    insta::assert_debug_snapshot!(lines);
}
