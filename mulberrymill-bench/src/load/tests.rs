use std::{collections::HashMap, time::Duration};

use mulberrymill::unit::Rate;

use super::{run::compare_executions, *};
use crate::{engine, service};

/// Guards against a plan that differs between runs with the same seed, and a later mix without
/// effect.
#[test]
fn plans_are_reproducible_and_change_mix() {
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

/// Guards against lost or merged events when a chunk ends inside an event.
#[test]
fn events_are_decoded_from_any_chunks() {
    let bytes = b"data: {\"a\":1}\n\n: comment\n\ndata: x\ndata: y\n\ndata: [DONE]\n\n";
    for size in 1..=bytes.len() {
        let mut decoder = sse::EventDecoder::default();
        let mut found = Vec::new();
        for chunk in bytes.chunks(size) {
            decoder.push(chunk);
            while let Some(event) = decoder.next_data() {
                found.push(event);
            }
        }
        assert_eq!(found, ["{\"a\":1}", "x\ny", "[DONE]"]);
    }
}

fn target(address: std::net::SocketAddr) -> Target {
    format!("http://{address}").parse().expect("a target")
}

fn instant_engine() -> engine::Handle {
    let config = engine::Config {
        models: vec!["m".parse().expect("a name")],
        speed: 0.0,
        ..engine::Config::default()
    };
    engine::bind(config).expect("bound")
}

fn outcome_counts(summary: &Summary) -> [u64; 4] {
    let total = |field: fn(&Figures) -> u64| summary.classes.values().map(field).sum();
    [
        total(|figures| figures.whole),
        total(|figures| figures.refused),
        total(|figures| figures.failed),
        total(|figures| figures.wrong),
    ]
}

fn text_config(target: Target) -> Config {
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

/// Guards against a broken or refused answer that counts as complete.
#[actix_web::test]
async fn outcomes_are_classified() {
    let engine = instant_engine();
    let config = text_config(target(engine.address()));
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
            outcome_counts(&summary)
        ));
    }
    let fault = engine::Fault::BreakNextStream { after_bytes: 3 };
    engine.fault(fault).await.expect("injected");
    let (summary, _) = run(config.clone()).await.expect("run");
    lines.push(format!("broken {:?}", outcome_counts(&summary)));
    let unknown = Config {
        model: "other".parse().expect("a name"),
        ..config
    };
    let (summary, _) = run(unknown).await.expect("run");
    lines.push(format!(
        "unknown {:?} {:?}",
        outcome_counts(&summary),
        summary.reasons
    ));
    insta::assert_debug_snapshot!(lines);
}

/// Guards against a complete answer to another prompt that counts as correct.
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
        ..text_config(target(port.address()))
    };
    let (summary, _) = run(config).await.expect("run");
    assert_eq!(outcome_counts(&summary), [0, 0, 0, 40]);
    assert!(!summary.is_sound());
}

/// Guards against an unreported execution that is duplicate, missing, or contrary to the response.
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
    assert_eq!(outcome_counts(&summary), [20, 0, 0, 0]);
    let mut samples = samples[..3].to_vec();
    samples[2].outcome = Outcome::Refused("503".to_owned());
    let executions = [("1-0", 2), ("1-2", 1)].map(|(key, count)| (key.to_owned(), count));
    compare_executions(&config, &samples, &HashMap::from(executions), &mut summary);
    insta::assert_debug_snapshot!((summary.ran_twice, summary.never_ran, summary.ran_after_no));
}

/// Guards against a comparison with unequal load on the two paths, and a stream measurement that
/// omits streams or tokens.
#[actix_web::test]
async fn overhead_alternates_and_stream_counts() {
    let engines =
        [instant_engine(), instant_engine()].map(|engine| (target(engine.address()), engine));
    let config = text_config(engines[0].0.clone());
    let paths = (engines[0].0.clone(), engines[1].0.clone());
    let both = overhead(config.clone(), paths.0, paths.1)
        .await
        .expect("run");
    assert_eq!((both.direct.whole, both.entry.whole), (20, 20));
    let tokens = mulberrymill::unit::Tokens::new(100);
    let sum = stream(config, 4, tokens).await.expect("run");
    assert_eq!((sum.whole, sum.other, sum.tokens), (40, 0, 4_000));
}
