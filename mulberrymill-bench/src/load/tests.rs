use std::{collections::HashMap, time::Duration};

use mulberrymill::unit::Rate;

use super::{run::compare, *};
use crate::{engine, service};

/// Guards against a plan that differs between runs of one seed, and against a shift without effect.
#[test]
fn plans_repeat_and_shift() {
    let shift = Mix {
        from: Duration::from_secs(5),
        weights: [1.0, 0.0, 0.0, 0.0],
        ..Mix::default()
    };
    let plan = || Plan::new(7, Rate::new(100.0), vec![Mix::default(), shift.clone()]).take(1_000);
    assert!(plan().eq(plan()));
    let mut counts = HashMap::new();
    for arrival in plan() {
        let late = arrival.at >= shift.from;
        *counts.entry((late, arrival.kind)).or_insert(0) += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    insta::assert_debug_snapshot!(counts);
}

/// Guards against events that are lost or joined when a write ends in the middle of one.
#[test]
fn events_survive_any_split() {
    let bytes = b"data: {\"a\":1}\n\n: comment\n\ndata: x\ndata: y\n\ndata: [DONE]\n\n";
    for size in 1..=bytes.len() {
        let mut events = sse::Events::default();
        let mut found = Vec::new();
        for part in bytes.chunks(size) {
            events.push(part);
            while let Some(event) = events.next() {
                found.push(event);
            }
        }
        assert_eq!(found, ["{\"a\":1}", "x\ny", "[DONE]"]);
    }
}

fn target(address: std::net::SocketAddr) -> Target {
    format!("http://{address}").parse().expect("a target")
}

fn fast() -> engine::Handle {
    let config = engine::Config {
        models: vec!["m".parse().expect("a name")],
        speed: 0.0,
        ..engine::Config::default()
    };
    engine::bind(config).expect("bound")
}

fn counts(summary: &Summary) -> [u64; 4] {
    let add = |pick: fn(&Figures) -> u64| summary.classes.values().map(pick).sum();
    [
        add(|one| one.whole),
        add(|one| one.refused),
        add(|one| one.failed),
        add(|one| one.wrong),
    ]
}

fn texts_only(target: Target) -> Config {
    Config {
        targets: vec![target],
        rate: Rate::new(2_000.0),
        count: 40,
        mixes: vec![Mix {
            weights: [1.0, 1.0, 1.0, 0.0],
            ..Mix::default()
        }],
        ..Config::default()
    }
}

/// Guards against a generator that takes a broken, foreign or refused answer for a whole one.
#[actix_web::test]
async fn answers_are_told_apart() {
    let engine = fast();
    let config = texts_only(target(engine.address()));
    let mut lines = Vec::new();
    for (stream, chat) in [(false, false), (false, true), (true, false), (true, true)] {
        let config = Config {
            stream,
            chat,
            ..config.clone()
        };
        let (summary, _) = run(config).await.expect("run");
        lines.push(format!(
            "stream={stream} chat={chat} {:?}",
            counts(&summary)
        ));
    }
    let fault = engine::Fault::BreakNextStream { after_bytes: 3 };
    engine.fault(fault).await.expect("injected");
    let (summary, _) = run(config.clone()).await.expect("run");
    lines.push(format!("broken {:?}", counts(&summary)));
    let unknown = Config {
        model: "other".parse().expect("a name"),
        ..config
    };
    let (summary, _) = run(unknown).await.expect("run");
    lines.push(format!(
        "unknown {:?} {:?}",
        counts(&summary),
        summary.reasons
    ));
    insta::assert_debug_snapshot!(lines);
}

/// Guards against a whole answer to another prompt that counts as whole.
#[actix_web::test]
async fn foreign_answers_are_wrong() {
    let port = crate::port::Port::bind(std::sync::Arc::new(|app| {
        app.default_service(actix_web::web::to(async || {
            let choice = serde_json::json!({"text": "other", "finish_reason": "length"});
            actix_web::HttpResponse::Ok().json(serde_json::json!({"choices": [choice]}))
        }));
    }))
    .expect("bound");
    let config = Config {
        stream: false,
        ..texts_only(target(port.address()))
    };
    let (summary, _) = run(config).await.expect("run");
    assert_eq!(counts(&summary), [0, 0, 0, 40]);
    assert!(!summary.is_sound());
}

/// Guards against a duplicate, lost or denied execution that goes unreported.
#[actix_web::test]
async fn executions_are_compared() {
    let service = service::bind(service::Config::default()).expect("bound");
    let address = target(service.address());
    let config = Config {
        targets: vec![address.clone()],
        services: vec![address],
        print_path: "/print".to_owned(),
        rate: Rate::new(1_000.0),
        count: 20,
        mixes: vec![Mix {
            weights: [0.0, 0.0, 0.0, 1.0],
            ..Mix::default()
        }],
        ..Config::default()
    };
    let (mut summary, samples) = run(config.clone()).await.expect("run");
    assert!(summary.is_sound());
    assert_eq!(counts(&summary), [20, 0, 0, 0]);
    let mut samples = samples[..3].to_vec();
    samples[2].outcome = Outcome::Refused("503".to_owned());
    let executions = [("1-0", 2), ("1-2", 1)].map(|(key, count)| (key.to_owned(), count));
    compare(&config, &samples, &HashMap::from(executions), &mut summary);
    insta::assert_debug_snapshot!((summary.ran_twice, summary.never_ran, summary.ran_after_no));
}

/// Guards against a comparison that sends the two ways unequal work, and a stream that loses some.
#[actix_web::test]
async fn overhead_alternates_and_stream_counts() {
    let engines = [fast(), fast()].map(|engine| (target(engine.address()), engine));
    let config = texts_only(engines[0].0.clone());
    let ways = (engines[0].0.clone(), engines[1].0.clone());
    let both = overhead(config.clone(), ways.0, ways.1).await.expect("run");
    assert_eq!((both.direct.whole, both.entry.whole), (20, 20));
    let tokens = mulberrymill::unit::Tokens::new(100);
    let sum = stream(config, 4, tokens).await.expect("run");
    assert_eq!((sum.whole, sum.other, sum.tokens), (40, 0, 4_000));
}
