use std::time::Duration;

use mulberrymill::unit::Rate;
use mulberrymill_bench::{engine::Fault, fleet, load};
use serde_json::Value;

use crate::common::{Harness, Load, endpoint, run, targets, wait_until};

/// Guards against a stopping entry that interrupts responses, or rejects requests that a load
/// balancer still sends before it notices that the entry is not ready.
#[test]
fn entry_completes_its_requests_before_it_stops() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config {
            stop_delay: Duration::from_secs(4),
            ..fleet::Config::default()
        })
        .await;
        let streams = Load::start(harness.stream_requests(11, 8));
        let steady = Load::start(harness.short_requests(12, 60));
        harness.wait_until_spread(12).await;

        let entry = harness.fleet.entries.remove(0);
        let address = entry.address();
        let stopped = actix_rt::spawn(entry.stop());
        wait_until("the entry is not ready", async || {
            harness.readiness_status(address).await == 503
        })
        .await;
        // Requests arrive for one second, well within the stop delay.
        let late = Load::start(load::Config {
            targets: targets([address].into_iter()),
            ..harness.short_requests(13, 60)
        });

        let status = stopped
            .await
            .expect("the stop task does not panic")
            .expect("the process was running");
        insta::assert_snapshot!(status, @"exit status: 0");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        insta::assert_snapshot!(steady.end().await.outcomes(), @"60 whole");
        insta::assert_snapshot!(late.end().await.outcomes(), @"60 whole");
    });
}

/// Whether the endpoint `review-1` is up and leaving.
fn is_leaving(status: &Value) -> bool {
    let endpoint = endpoint(status, "review-1");
    endpoint["up"] == true && endpoint["leaving"] == true
}

/// Guards against a stopping agent that interrupts streams, accepts new work, or leaves its port
/// unusable for a restarted agent.
#[test]
fn agent_completes_its_streams_before_it_stops() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(21, 12));
        harness.wait_until_spread(12).await;
        // The slowed engine keeps its streams open until the test restores its speed.
        harness
            .inject_engine_fault(0, Fault::Slow { factor: 50.0 })
            .await;
        let steady = Load::start(harness.short_requests(22, 60));

        let agent = harness.fleet.agents.remove(0);
        let address = agent.address();
        let stopped = actix_rt::spawn(agent.stop());
        harness
            .wait_until_status("the agent takes no new work", is_leaving)
            .await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"60 whole");
        let before = harness.accepted(0).await;
        let later = Load::start(harness.short_requests(23, 40)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"40 whole");
        assert_eq!(
            harness.accepted(0).await,
            before,
            "new work while the endpoint is leaving"
        );
        // The agent started this drain itself, without an operator. The holder of the group must
        // not undo it.
        for entry in 0..2 {
            let status = harness.fleet.status(entry).await.expect("an answer");
            assert!(is_leaving(&status), "{status}");
        }
        harness
            .inject_engine_fault(0, Fault::Slow { factor: 1.0 })
            .await;

        let status = stopped
            .await
            .expect("the stop task does not panic")
            .expect("the process was running");
        insta::assert_snapshot!(status, @"exit status: 0");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"12 whole");

        let agent = harness.fleet.start_agent(0, address).await;
        harness
            .fleet
            .agents
            .insert(0, agent.expect("the port is free"));
        harness.wait_until_serving("review-1").await;
        let again = Load::start(harness.short_requests(24, 40)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"40 whole");
        assert!(
            harness.accepted(0).await > before,
            "no new work after the restart"
        );
    });
}

/// Guards against a stopping agent that loses print operations in progress or executes them twice.
#[test]
fn agent_completes_its_operations_before_it_stops() {
    run(async {
        let mut harness = Harness::spawn(fleet::Config {
            service_delay: Duration::from_millis(300),
            ..fleet::Config::default()
        })
        .await;
        let prints = Load::start(load::Config {
            rate: Rate::new(40.0),
            ..harness.print_requests(31, 80)
        });
        harness.wait_until_executed(0, 1).await;
        let stopped = actix_rt::spawn(harness.fleet.agents.remove(2).stop());
        insta::assert_snapshot!(prints.end().await.outcomes(), @"80 whole");
        let status = stopped
            .await
            .expect("the stop task does not panic")
            .expect("the process was running");
        insta::assert_snapshot!(status, @"exit status: 0");
    });
}
