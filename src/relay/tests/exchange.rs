use std::time::Duration;

use tokio::{
    sync::mpsc,
    task::{JoinHandle, spawn_local},
    time,
};

use super::*;
use super::{
    fake::{FakeSettings, Harness, call, generation, start_relay},
    script::{
        AgentEvent::{self, End, Fail, Lost, Stale},
        Script, chunk, describe, send_event,
    },
};
use crate::{
    error::{Executed, Kind},
    link,
    testing::with_paused_time,
};

/// Reads an exchange to its end in a separate task.
fn spawn_reader(
    mut exchange: Exchange,
) -> (
    JoinHandle<()>,
    mpsc::UnboundedReceiver<Result<ResponsePart>>,
) {
    let (sender, parts) = mpsc::unbounded_channel();
    let task = spawn_local(async move {
        while let Some(part) = exchange.next().await {
            // The test may have ended and dropped the receiver.
            let _closed = sender.send(part);
        }
    });
    (task, parts)
}

/// Runs a request against scripted attempts. Returns what the caller received and the messages
/// that reached the fakes.
pub(super) async fn run_scripted(
    harness: &mut Harness,
    request: Request,
    mut script: Script,
) -> Vec<String> {
    let (_task, mut parts) = spawn_reader(harness.relay.new_exchange(request));
    let mut log = Vec::new();
    // Holds the event channels open, so that attempts end only as scripted.
    let mut attempts: Vec<link::Submit> = Vec::new();
    loop {
        tokio::select! {
            biased;
            Some(submit) = harness.submits.recv() => {
                log.push(describe(&submit));
                for event in script.pop_front().unwrap_or_default() {
                    send_event(&submit, event);
                }
                attempts.push(submit);
            }
            part = parts.recv() => match part {
                Some(Ok(ResponsePart::Data(data))) => log.push(String::from_utf8_lossy(&data).into_owned()),
                Some(Ok(ResponsePart::End(summary))) => log.push(format!("complete at {}", summary.length)),
                Some(Err(error)) => {
                    log.push(format!("error {}, executed {}", error.kind(), error.executed()));
                }
                None => break,
            }
        }
    }
    log.extend(harness.notes().await);
    log
}

fn refused() -> Vec<AgentEvent> {
    vec![Fail(Kind::Leaving, Executed::No)]
}

fn served() -> Vec<AgentEvent> {
    vec![chunk(0, "tra"), chunk(3, "ces"), End(6)]
}

/// Name, request, retry budget, and what the agent of each attempt sends.
type Case = (&'static str, fn() -> Request, u32, Vec<Vec<AgentEvent>>);

/// Guards against lost or repeated work after each kind of failure. A refused attempt is retried on
/// another endpoint without retry budget, an interrupted generation resumes at its exact offset, an
/// operation that may have run is not sent again, and no error says `executed: no` after an attempt
/// that may have run.
#[test]
fn attempts_follow_each_failure() {
    let lost = || vec![chunk(0, "tra"), Lost];
    let rest = || vec![chunk(3, "ces"), End(6)];
    let not_run = |kind| vec![Fail(kind, Executed::No)];
    let cases: Vec<Case> = vec![
        ("refused", generation, 0, vec![refused(), served()]),
        (
            "refused everywhere",
            generation,
            0,
            vec![refused(), refused(), refused()],
        ),
        ("lost", generation, 1, vec![lost(), rest()]),
        ("lost without budget", generation, 0, vec![lost()]),
        (
            "lost, then refused",
            generation,
            1,
            vec![lost(), refused(), refused()],
        ),
        (
            "gap",
            generation,
            1,
            vec![vec![chunk(0, "tra"), chunk(4, "es")], rest()],
        ),
        (
            "short end",
            generation,
            1,
            vec![vec![chunk(0, "tra"), End(6)], rest()],
        ),
        (
            "stale and duplicate chunks",
            generation,
            1,
            vec![
                lost(),
                vec![
                    Stale(3, b"xyz".to_vec()),
                    chunk(0, "tra"),
                    chunk(3, "ces"),
                    chunk(3, "ces"),
                    End(6),
                ],
            ],
        ),
        ("silent", generation, 1, vec![vec![chunk(0, "tra")]]),
        ("once, served", || call(true), 0, vec![served()]),
        ("once, refused", || call(true), 0, vec![refused(), served()]),
        ("once, lost", || call(true), 9, vec![vec![Lost], served()]),
        (
            "once, failed",
            || call(true),
            9,
            vec![
                vec![Fail(Kind::EndpointFailed, Executed::Unknown)],
                served(),
            ],
        ),
        (
            "once, not connected to the endpoint",
            || call(true),
            9,
            vec![not_run(Kind::EndpointFailed), served()],
        ),
        (
            "once, without the store",
            || call(true),
            9,
            vec![not_run(Kind::StoreUnavailable), served()],
        ),
        (
            "repeatable, lost",
            || call(false),
            1,
            vec![vec![Lost], served()],
        ),
        (
            "repeatable, lost after a chunk",
            || call(false),
            1,
            vec![lost(), served()],
        ),
    ];
    let log = with_paused_time(async {
        let mut log = Vec::new();
        for (name, request, budget, script) in cases {
            let settings = FakeSettings {
                budget,
                ..FakeSettings::default()
            };
            let mut harness = start_relay(settings, 1);
            let result = run_scripted(&mut harness, request(), script.into()).await;
            log.push((name, result));
            assert!(harness.has_slot().await, "{name} leaks its slot");
        }
        log
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against `executed: no` and a retry after an agent has sent a chunk of the response and
/// then fails the attempt with `executed: no`.
#[test]
fn operation_with_partial_response_is_not_retried() {
    let contradiction = vec![chunk(0, "tra"), Fail(Kind::Leaving, Executed::No)];
    let log = with_paused_time(async {
        let mut harness = start_relay(FakeSettings::default(), 1);
        run_scripted(
            &mut harness,
            call(true),
            vec![contradiction, served()].into(),
        )
        .await
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against a request that fails although another endpoint is connected.
#[test]
fn unconnected_endpoint_is_skipped() {
    let log = with_paused_time(async {
        let settings = FakeSettings {
            unlinked: vec!["e1", "e2"],
            ..FakeSettings::default()
        };
        let mut harness = start_relay(settings, 1);
        run_scripted(&mut harness, call(true), vec![served()].into()).await
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against credit for chunks that the caller has not read, with which the response to a
/// slow caller would accumulate in the memory of the entry.
#[test]
fn credit_is_granted_as_the_caller_reads() {
    const PART: u64 = 10 << 10;
    let log = with_paused_time(async {
        let mut harness = start_relay(FakeSettings::default(), 1);
        let mut exchange = harness.relay.new_exchange(generation());
        let submitted = async {
            let submit = harness.submits.recv().await.expect("an attempt");
            for number in 0..5 {
                send_event(
                    &submit,
                    AgentEvent::Data(number * PART, vec![b'a'; 10 << 10]),
                );
            }
            submit
        };
        let (first, submit) = tokio::join!(exchange.next(), submitted);
        let mut log = vec![format!("window {}", submit.submit.credit)];
        assert!(matches!(first, Some(Ok(ResponsePart::Data(_)))), "a part");
        for number in 2..=5 {
            log.push(format!("after {}: {:?}", number - 1, harness.notes().await));
            let part = exchange.next().await;
            assert!(matches!(part, Some(Ok(ResponsePart::Data(_)))), "a part");
        }
        log.push(format!("after 5: {:?}", harness.notes().await));
        log
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against an exchange that is dropped in any stage and leaves its attempt running or its
/// slot in use.
#[test]
fn dropped_exchange_cancels_attempt_and_frees_slot() {
    const PAUSE: Duration = Duration::from_millis(100);
    let log = with_paused_time(async {
        let mut log = Vec::new();
        let stages = [
            ("choosing", PAUSE, Duration::ZERO),
            ("sending", Duration::ZERO, PAUSE),
            ("running", Duration::ZERO, Duration::ZERO),
        ];
        for (name, choosing, sending) in stages {
            let harness = start_relay(
                FakeSettings {
                    choosing,
                    sending,
                    ..FakeSettings::default()
                },
                1,
            );
            let (task, _parts) = spawn_reader(harness.relay.new_exchange(generation()));
            time::sleep(PAUSE / 2).await;
            assert!(!harness.has_slot().await, "the slot is in use while {name}");
            task.abort();
            time::sleep(PAUSE).await;
            log.push((name, harness.notes().await));
            assert!(harness.has_slot().await, "the slot is free after {name}");
        }
        log
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against a slot leak when the caller disconnects while its request is queued.
#[test]
fn exchange_dropped_while_queued_takes_no_slot() {
    with_paused_time(async {
        let mut harness = start_relay(FakeSettings::default(), 1);
        let (running, _parts) = spawn_reader(harness.relay.new_exchange(generation()));
        let _submit = harness.submits.recv().await.expect("an attempt");
        let (queued, _parts) = spawn_reader(harness.relay.new_exchange(generation()));
        time::sleep(Duration::from_millis(10)).await;
        queued.abort();
        time::sleep(Duration::from_millis(10)).await;
        assert_eq!(harness.notes().await, ["left the queue"]);
        running.abort();
        time::sleep(Duration::from_millis(10)).await;
        assert!(harness.has_slot().await, "the slot is free");
        assert!(harness.submits.try_recv().is_err(), "nothing else was sent");
    });
}
