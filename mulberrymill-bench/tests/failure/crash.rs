use std::time::Duration;

use mulberrymill::unit::Rate;
use mulberrymill_bench::{engine::Fault, fleet, load};

use crate::common::{Load, Rig, run};

/// Few enough that the retry budget of an entry, which is at least three, covers all streams of one
/// engine. So each of them has to be resumed.
const STREAMS: u64 = 6;

/// Guards against streams that are lost, doubled in part or shifted when their agent is killed.
#[test]
fn streams_of_a_killed_agent_are_resumed() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(41, STREAMS));
        rig.until_spread(STREAMS).await;
        rig.until_decoding(0).await;
        let agent = rig.fleet.agents.remove(0);
        let address = agent.address();
        agent.kill().await.expect("it was running");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");
        assert!(rig.accepted_by_all().await > STREAMS, "nothing was resumed");

        let agent = rig.fleet.start_agent(0, address).await;
        rig.fleet.agents.insert(0, agent.expect("the port is free"));
        rig.until_serving("review-1").await;
        let later = Load::start(rig.quick(42, 40)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"40 whole");
    });
}

/// Guards against streams of a killed agent that hang or end without an error when there are more
/// of them than the retry budget allows.
#[test]
fn streams_beyond_the_retry_budget_end_clearly() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(43, 40));
        rig.until_spread(40).await;
        rig.until_decoding(0).await;
        let agent = rig.fleet.agents.remove(0);
        agent.kill().await.expect("it was running");
        let ended = streams.end().await;
        assert!(ended.ends_clearly(), "{}", ended.outcomes());
    });
}

/// Guards against streams that are lost or shifted when their engine crashes, and against an engine
/// that gets no work after its restart.
#[test]
fn streams_of_a_crashed_engine_are_resumed() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(44, STREAMS));
        rig.until_spread(STREAMS).await;
        rig.until_decoding(0).await;
        rig.engine_fault(0, Fault::Crash).await;
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");
        assert!(rig.accepted_by_all().await > STREAMS, "nothing was resumed");

        rig.engine_fault(0, Fault::Restart).await;
        let before = rig.accepted(0).await;
        let later = Load::start(rig.quick(45, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert!(rig.accepted(0).await > before, "no work after the restart");
    });
}

/// Guards against an answer that is cut off inside a token and continued from another offset.
#[test]
fn broken_streams_are_resumed_at_their_offset() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        for (engine, after_bytes) in [(0, 1), (1, 203)] {
            let fault = Fault::BreakNextStream { after_bytes };
            rig.engine_fault(engine, fault).await;
        }
        let streams = Load::start(rig.streams(46, STREAMS)).end().await;
        insta::assert_snapshot!(streams.outcomes(), @"6 whole");
        assert_eq!(rig.accepted_by_all().await, STREAMS + 2);
    });
}

/// Guards against print orders that run twice, or run although their callers were told that they
/// did not, when the agent of their service is killed.
#[test]
fn operations_of_a_killed_agent_run_once() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config {
            service_delay: Duration::from_millis(300),
            ..fleet::Config::default()
        })
        .await;
        let prints = Load::start(load::Config {
            rate: Rate::new(40.0),
            ..rig.prints(47, 100)
        });
        rig.until_executed(0, 5).await;
        let agent = rig.fleet.agents.remove(2);
        agent.kill().await.expect("it was running");
        let ended = prints.end().await;
        assert!(ended.ends_clearly(), "{}", ended.outcomes());
        // The same keys once more: what ran is answered from the record, or is not settled.
        let again = Load::start(rig.prints(47, 100)).end().await;
        assert!(again.ends_clearly(), "{}", again.outcomes());
    });
}
