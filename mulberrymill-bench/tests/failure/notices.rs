use std::time::Duration;

use mulberrymill_bench::{engine::Fault, fleet};

use crate::common::{Harness, Load, endpoint, run, wait_until};

/// Time within which entries stop sending to an endpoint that said that it leaves.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Pause that the engine asks for, in seconds.
const PAUSE_SECONDS: u64 = 4;
/// Time within the pause for which requests are counted. The last refusal before it came at most
/// [`PAUSE_PROPAGATION_LIMIT`] after the first, so the pause lasts beyond it.
const PAUSE_COUNTED: Duration = Duration::from_secs(3);
/// Time after the first refusal with a pause from which requests to the engine count.
const PAUSE_PROPAGATION_LIMIT: Duration = Duration::from_millis(500);
/// Requests that may reach the engine between that time and the end of the pause.
const REQUESTS_IN_PAUSE_MAX: u64 = 2;

/// Line of an agent when its endpoint takes requests again.
const REOPENED: &str = "endpoint takes requests again";

/// Requests that the first engine has refused because it pauses.
async fn refused(harness: &Harness) -> u64 {
    let tally = harness.fleet.engines[0].tally().await;
    tally.expect("the stand-in responds").paused
}

/// Guards against new work for an engine that says in its answers that it leaves, while its load report
/// and the operators say nothing (DRAIN), and against one that stays closed after its restart.
#[test]
fn engine_that_says_that_it_leaves_gets_no_requests_until_its_restart() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(61, 8));
        harness.wait_until_spread(8).await;
        let steady = Load::start(harness.short_requests(62, 300));
        harness.inject_engine_fault(0, Fault::SayLeaving).await;
        tokio::time::sleep(DRAIN_PROPAGATION_LIMIT).await;
        harness
            .wait_until_status("the endpoint is leaving", |status| {
                endpoint(status, "review-1")["leaving"] == true
            })
            .await;
        let before = harness.accepted(0).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        assert_eq!(
            harness.accepted(0).await,
            before,
            "new work while the engine says that it leaves"
        );

        harness.inject_engine_fault(0, Fault::Crash).await;
        harness.inject_engine_fault(0, Fault::Restart).await;
        harness.wait_until_serving("review-1").await;
        harness.wait_until_logged(&[REOPENED, "leaving"]).await;
        let later = Load::start(harness.short_requests(63, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert!(
            harness.accepted(0).await > before,
            "no new work after the restart"
        );
    });
}

/// Guards against requests to an engine within the pause that it asked for (BUDGET), and against an engine
/// that gets none after it.
#[test]
fn engine_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let pause = |seconds| harness.inject_engine_fault(0, Fault::Pause { seconds });
        pause(PAUSE_SECONDS).await;
        let steady = Load::start(harness.short_requests(64, 300));
        wait_until("the engine refuses a request", async || {
            refused(&harness).await > 0
        })
        .await;
        tokio::time::sleep(PAUSE_PROPAGATION_LIMIT).await;
        let before = refused(&harness).await;
        tokio::time::sleep(PAUSE_COUNTED).await;
        let within = refused(&harness).await - before;
        pause(0).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        assert!(
            within <= REQUESTS_IN_PAUSE_MAX,
            "{within} requests in the pause"
        );

        harness.wait_until_logged(&[REOPENED, "paused"]).await;
        let accepted = harness.accepted(0).await;
        wait_until("the engine accepts requests again", async || {
            let load = Load::start(harness.short_requests(65, 40)).end().await;
            assert_eq!(load.outcomes(), "40 whole");
            harness.accepted(0).await > accepted
        })
        .await;
    });
}
