use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;

use super::*;
use crate::{
    directory::{Instance, Stage},
    id::Service,
    unit::Tokens,
};

fn service() -> Service {
    "lm".parse().expect("a valid name")
}

fn engine(id: &str, stage: Option<Stage>) -> Arc<Instance> {
    Arc::new(Instance {
        started: None,
        id: id.parse().expect("a valid name"),
        service: service(),
        address: "127.0.0.1:9001".parse().expect("an address"),
        zone: "a".parse().expect("a valid name"),
        slots: 4,
        draining: false,
        stage,
    })
}

fn observation(tokens: u64, elapsed: Duration) -> Observation {
    Observation {
        tokens: Tokens::new(tokens),
        elapsed,
    }
}

/// Records a prompt of 10,000 tokens every 50 ms for ten seconds. Returns the time of the last one.
fn observe(model: &mut Model, engine: &Instance, elapsed: Duration, start: Instant) -> Instant {
    let times = (0..200).map(|step| start + Duration::from_millis(50) * step);
    times.fold(start, |_, now| {
        model.record_prefill(engine, observation(10_000, elapsed), now);
        now
    })
}

/// Describes the estimated rates of two engines of a stage, and of the stage, in tokens per ms.
fn rates(model: &Model, engines: [&Instance; 2], now: Instant) -> String {
    let [one, other] = engines.map(|engine| model.engine_rate(engine, now).get() / 1_000.0);
    let stage = model.stage_rate(&service(), engines[0].stage, now).get() / 1_000.0;
    format!("{one:.0}, {other:.0}, stage {stage:.0}")
}

/// Guards against estimates that ignore what was observed, that take one slow engine for a slow
/// stage, or that hold on to old observations.
#[test]
fn rates_follow_recent_observations() {
    let [fast, slow] = [engine("p1", None), engine("p2", None)];
    let mut model = Model::new();
    let start = Instant::now();
    let mut results = vec![format!(
        "at first: {}",
        rates(&model, [&fast, &slow], start)
    )];
    observe(&mut model, &fast, Duration::from_millis(100), start);
    let now = observe(&mut model, &slow, Duration::from_millis(400), start);
    results.push(format!("observed: {}", rates(&model, [&fast, &slow], now)));
    let later = now + Duration::from_mins(5);
    results.push(format!("later: {}", rates(&model, [&fast, &slow], later)));
    insta::assert_debug_snapshot!(results);
}

/// Guards against short prompts, whose latency is mostly network, being taken for slow prefills.
#[test]
fn short_prompts_do_not_change_the_rate() {
    let engine = engine("p1", Some(Stage::Prefill));
    let mut model = Model::new();
    let now = Instant::now();
    let before = model.engine_rate(&engine, now);
    for _ in 0..1_000 {
        model.record_prefill(&engine, observation(50, Duration::from_millis(40)), now);
    }
    assert_eq!(model.engine_rate(&engine, now), before);
}

fn pressure_of(pauses: &[u64], target: u64, ends_after: Option<u64>) -> String {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(5);
    let mut model = Model::new();
    for _ in 0..50 {
        let mut pace = Pace::new(Duration::from_millis(target), deadline);
        let mut now = start;
        pace.record(now);
        for pause in pauses.iter().cycle().take(20) {
            now += Duration::from_millis(*pause);
            pace.record(now);
        }
        if let Some(ends_after) = ends_after {
            pace.break_off(start + Duration::from_millis(ends_after));
        }
        model.record_pace(&service(), pace, start);
    }
    format!("{:.2}", model.pause_pressure(&service(), start))
}

/// Guards against streams that are slowed down until they are late without the pressure showing it:
/// by single long pauses, or by a deadline that passes before a stream is complete.
#[test]
fn pressure_shows_streams_that_are_nearly_late() {
    insta::assert_debug_snapshot!([
        ("ample slack", pressure_of(&[40], 200, None)),
        ("at the target", pressure_of(&[200], 200, None)),
        (
            "one pause in four too long",
            pressure_of(&[40, 40, 40, 300], 200, None)
        ),
        (
            "canceled long before the deadline",
            pressure_of(&[40], 200, Some(900))
        ),
        (
            "cut off by the deadline",
            pressure_of(&[40], 200, Some(4_950))
        ),
        ("absurd", pressure_of(&[60_000], 1, None)),
    ]);
}

proptest! {
    /// Guards against estimates that are zero, infinite or absurd, whatever engines report.
    #[test]
    fn estimates_stay_within_bounds(
        seen in prop::collection::vec((any::<u64>(), 0_u64..1 << 40, 0_u64..100_000), 0..40),
    ) {
        let engine = engine("p1", Some(Stage::Decode));
        let mut model = Model::new();
        let start = Instant::now();
        let prior = model.engine_rate(&engine, start).get();
        for (tokens, elapsed, after) in seen {
            let now = start + Duration::from_millis(after);
            let seen = observation(tokens, Duration::from_millis(elapsed));
            model.record_prefill(&engine, seen, now);
            let rate = model.engine_rate(&engine, now).get();
            prop_assert!(rate >= prior / 65.0 && rate <= prior * 65.0, "{rate}");
        }
    }
}

/// Guards against streams beside long prefills that are taken for safe, or for late, whatever was seen.
#[test]
fn late_share_follows_streams_beside_prefills() {
    let now = Instant::now();
    let share = |pause: u64| {
        let mut model = Model::new();
        for _ in 0..200 {
            let mut pace = Pace::new(Duration::from_millis(250), now + Duration::from_secs(9));
            for event in 0..5 {
                pace.record(now + Duration::from_millis(pause) * event);
            }
            model.record_exposed(&service(), pace, now);
        }
        format!("{:.2}", model.late_share(&service(), now))
    };
    let unseen = Model::new().late_share(&service(), now);
    insta::assert_debug_snapshot!((unseen, share(40), share(280)));
}

/// Guards against short prompts that are placed where they wait for work that is not known yet, since the
/// error of forecasts is not learned, or is mixed up between sizes and stages.
#[test]
fn excess_is_learned_by_stage_and_size() {
    let now = Instant::now();
    let [prefill, decode] = [
        engine("p1", Some(Stage::Prefill)),
        engine("d1", Some(Stage::Decode)),
    ];
    let mut model = Model::new();
    for _ in 0..100 {
        let expected = Expectation {
            own: Tokens::new(800),
            forecast: Duration::from_millis(20),
        };
        model.record_excess(&prefill, expected, Duration::from_millis(120), now);
        model.record_excess(&decode, expected, Duration::from_millis(10), now);
    }
    let excess = |engine, tokens| model.excess(engine, Tokens::new(tokens), now).as_millis();
    insta::assert_debug_snapshot!([
        ("prefill engine", excess(&prefill, 800)),
        ("decode engine, earlier than forecast", excess(&decode, 800)),
        ("long prompt", excess(&prefill, 12_000)),
    ]);
}
