use std::time::Duration;

use mulberrymill::unit::Rate;
use mulberrymill_bench::{engine::Fault, fleet, load};

use crate::common::{Harness, Load, run};

/// Number of streams of a test. The retry budget of an entry, which is at least three, covers all
/// streams of one engine, so that each of them must be resumed.
const STREAM_COUNT: u64 = 6;

/// Guards against streams that lose, repeat or misplace output when their agent is killed.
#[test]
fn streams_of_a_killed_agent_are_resumed() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(41, STREAM_COUNT));
        harness.wait_until_spread(STREAM_COUNT).await;
        harness.wait_until_decoding(0).await;
        let agent = harness.fleet.agents.remove(0);
        let address = agent.address();
        agent.kill().await.expect("the process was running");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");
        assert!(
            harness.total_accepted().await > STREAM_COUNT,
            "no stream was resumed"
        );

        let agent = harness.fleet.start_agent(0, address).await;
        harness
            .fleet
            .agents
            .insert(0, agent.expect("the port is free"));
        harness.wait_until_serving("review-1").await;
        let later = Load::start(harness.short_requests(42, 40)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"40 whole");
    });
}

/// Guards against streams of a killed agent that hang or end without an error when there are more
/// of them than the retry budget allows.
#[test]
fn streams_beyond_the_retry_budget_report_failure() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(43, 40));
        harness.wait_until_spread(40).await;
        harness.wait_until_decoding(0).await;
        let agent = harness.fleet.agents.remove(0);
        agent.kill().await.expect("the process was running");
        let ended = streams.end().await;
        assert!(ended.reports_every_failure(), "{}", ended.outcomes());
    });
}

/// Guards against streams that lose or misplace output when their engine crashes, and against an
/// engine that gets no work after its restart.
#[test]
fn streams_of_a_crashed_engine_are_resumed() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(44, STREAM_COUNT));
        harness.wait_until_spread(STREAM_COUNT).await;
        harness.wait_until_decoding(0).await;
        harness.inject_engine_fault(0, Fault::Crash).await;
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");
        assert!(
            harness.total_accepted().await > STREAM_COUNT,
            "no stream was resumed"
        );

        harness.inject_engine_fault(0, Fault::Restart).await;
        let before = harness.accepted(0).await;
        let later = Load::start(harness.short_requests(45, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert!(
            harness.accepted(0).await > before,
            "no new work after the restart"
        );
    });
}

/// Guards against a stream that breaks inside a token and is resumed at the wrong offset.
#[test]
fn broken_streams_are_resumed_at_the_same_offset() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        for (engine, after_bytes) in [(0, 1), (1, 203)] {
            let fault = Fault::BreakNextStream { after_bytes };
            harness.inject_engine_fault(engine, fault).await;
        }
        let streams = Load::start(harness.stream_requests(46, STREAM_COUNT))
            .end()
            .await;
        insta::assert_snapshot!(streams.outcomes(), @"6 whole");
        assert_eq!(harness.total_accepted().await, STREAM_COUNT + 2);
    });
}

/// Guards against print operations that are executed twice, or executed although their callers were
/// told that they were not, when the agent of their service is killed.
#[test]
fn operations_of_a_killed_agent_run_at_most_once() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config {
            service_delay: Duration::from_millis(300),
            ..fleet::Config::default()
        })
        .await;
        let prints = Load::start(load::Config {
            rate: Rate::new(40.0),
            ..harness.print_requests(47, 100)
        });
        harness.wait_until_executed(0, 5).await;
        let agent = harness.fleet.agents.remove(2);
        agent.kill().await.expect("the process was running");
        let ended = prints.end().await;
        assert!(ended.reports_every_failure(), "{}", ended.outcomes());
        // Repeats the same keys: an executed operation is answered from the ledger, or its outcome
        // is still unknown.
        let again = Load::start(harness.print_requests(47, 100)).end().await;
        assert!(again.reports_every_failure(), "{}", again.outcomes());
    });
}
