use std::time::Duration;

use mulberrymill::unit::Rate;
use mulberrymill_bench::{engine::Fault, fleet, load};
use serde_json::Value;

use crate::common::{Load, Rig, endpoint, run, targets, until};

/// Guards against a stopping entry that cuts off answers, or refuses what a balancer still sends
/// until it has noticed that the entry is not ready.
#[test]
fn entry_completes_its_requests_before_it_stops() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config {
            stop_delay: Duration::from_secs(4),
            ..fleet::Config::default()
        })
        .await;
        let streams = Load::start(rig.streams(11, 8));
        let steady = Load::start(rig.quick(12, 60));
        rig.until_spread(12).await;

        let entry = rig.fleet.entries.remove(0);
        let address = entry.address();
        let stopped = actix_rt::spawn(entry.stop());
        until("the entry is not ready", async || {
            rig.readiness(address).await == 503
        })
        .await;
        // A second of requests, far inside the stop delay.
        let late = Load::start(load::Config {
            targets: targets([address].into_iter()),
            ..rig.quick(13, 60)
        });

        let status = stopped.await.expect("no panic").expect("it was running");
        insta::assert_snapshot!(status, @"exit status: 0");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        insta::assert_snapshot!(steady.end().await.outcomes(), @"60 whole");
        insta::assert_snapshot!(late.end().await.outcomes(), @"60 whole");
    });
}

fn is_leaving(status: &Value) -> bool {
    let review = endpoint(status, "review-1");
    review["up"] == true && review["leaving"] == true
}

/// Guards against a stopping agent that cuts off streams, takes new work, or leaves its port in a
/// state in which a restarted agent does not serve.
#[test]
fn agent_completes_its_streams_before_it_stops() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(21, 12));
        rig.until_spread(12).await;
        // Its streams last until the test lets them end.
        rig.engine_fault(0, Fault::Slow { factor: 50.0 }).await;
        let steady = Load::start(rig.quick(22, 60));

        let agent = rig.fleet.agents.remove(0);
        let address = agent.address();
        let stopped = actix_rt::spawn(agent.stop());
        rig.until_status("the agent takes no new work", is_leaving)
            .await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"60 whole");
        let before = rig.accepted(0).await;
        let later = Load::start(rig.quick(23, 40)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"40 whole");
        assert_eq!(rig.accepted(0).await, before, "new work while leaving");
        // No operator asked for this drain, but the holder of the group must not undo it.
        for entry in 0..2 {
            let status = rig.fleet.status(entry).await.expect("an answer");
            assert!(is_leaving(&status), "{status}");
        }
        rig.engine_fault(0, Fault::Slow { factor: 1.0 }).await;

        let status = stopped.await.expect("no panic").expect("it was running");
        insta::assert_snapshot!(status, @"exit status: 0");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"12 whole");

        let agent = rig.fleet.start_agent(0, address).await;
        rig.fleet.agents.insert(0, agent.expect("the port is free"));
        rig.until_serving("review-1").await;
        let again = Load::start(rig.quick(24, 40)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"40 whole");
        assert!(rig.accepted(0).await > before, "no work after the restart");
    });
}

/// Guards against a stopping agent that loses print orders in progress or runs them twice.
#[test]
fn agent_completes_its_operations_before_it_stops() {
    run(async {
        let mut rig = Rig::spawn(fleet::Config {
            service_delay: Duration::from_millis(300),
            ..fleet::Config::default()
        })
        .await;
        let prints = Load::start(load::Config {
            rate: Rate::new(40.0),
            ..rig.prints(31, 80)
        });
        rig.until_executed(0, 1).await;
        let stopped = actix_rt::spawn(rig.fleet.agents.remove(2).stop());
        insta::assert_snapshot!(prints.end().await.outcomes(), @"80 whole");
        let status = stopped.await.expect("no panic").expect("it was running");
        insta::assert_snapshot!(status, @"exit status: 0");
    });
}
