use std::time::Duration;

use mulberrymill_bench::fleet;

use crate::common::{Harness, Load, endpoint, run};

/// Time within which a drain or a change of the host list must stop new work to an endpoint.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Numbers of requests accepted by the first engine and operations executed by the first service.
async fn work_counts(harness: &Harness) -> (u64, u64) {
    (harness.accepted(0).await, harness.executed(0).await)
}

/// Guards against a drain that takes effect late, is undone or interrupts streams, and against an
/// endpoint that gets no work after its drain has ended.
#[test]
fn drained_endpoints_get_no_new_work() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(51, 8));
        harness.wait_until_spread(8).await;
        let steady = Load::start(harness.short_requests(52, 300));
        harness.drain(0, "review-1", false).await;
        harness.drain(1, "labels-1", false).await;
        tokio::time::sleep(DRAIN_PROPAGATION_LIMIT).await;
        let before = work_counts(&harness).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        let later = Load::start(harness.short_requests(53, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert_eq!(
            work_counts(&harness).await,
            before,
            "new work while the endpoint is leaving"
        );

        for name in ["review-1", "labels-1"] {
            harness.drain(1, name, true).await;
            harness.wait_until_serving(name).await;
        }
        let again = Load::start(harness.short_requests(54, 60)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"60 whole");
        let after = work_counts(&harness).await;
        assert!(
            after.0 > before.0 && after.1 > before.1,
            "no new work after the drain ended: {before:?} {after:?}"
        );
    });
}

/// Guards against an endpoint that gets new work while its host is listed as leaving, and against
/// one that gets none after its host is listed as live again.
#[test]
fn endpoints_of_leaving_hosts_get_no_new_work() {
    run(async {
        let harness = Harness::spawn(fleet::Config {
            host_lag: Duration::from_secs(1),
            ..fleet::Config::default()
        })
        .await;
        let streams = Load::start(harness.stream_requests(55, 8));
        harness.wait_until_spread(8).await;
        let steady = Load::start(harness.short_requests(56, 300));
        harness.set_host_state("host-review-1", "leaving").await;
        tokio::time::sleep(DRAIN_PROPAGATION_LIMIT).await;
        let before = harness.accepted(0).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        assert_eq!(
            harness.accepted(0).await,
            before,
            "new work while the endpoint is leaving"
        );

        harness.set_host_state("host-review-1", "live").await;
        harness.wait_until_serving("review-1").await;
        let again = Load::start(harness.short_requests(57, 60)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"60 whole");
        assert!(
            harness.accepted(0).await > before,
            "no new work after the host is live again"
        );
    });
}

/// Guards against a drain that is undone by an outdated host list, which still lists the host as
/// live.
#[test]
fn outdated_host_list_does_not_undo_a_drain() {
    run(async {
        let harness = Harness::spawn(fleet::Config {
            host_lag: Duration::from_hours(1),
            ..fleet::Config::default()
        })
        .await;
        harness.drain(0, "review-1", false).await;
        harness
            .wait_until_status("the endpoint is leaving", |status| {
                endpoint(status, "review-1")["leaving"] == true
            })
            .await;
        let before = harness.accepted(0).await;
        let steady = Load::start(harness.short_requests(58, 120)).end().await;
        insta::assert_snapshot!(steady.outcomes(), @"120 whole");
        assert_eq!(
            harness.accepted(0).await,
            before,
            "new work while the endpoint is leaving"
        );
    });
}
