use std::time::Duration;

use mulberrymill_bench::fleet;

use crate::common::{Load, Rig, endpoint, run};

/// An endpoint that is to leave gets no new work after this time.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// New work of the first engine and of the first service so far.
async fn work(rig: &Rig) -> (u64, u64) {
    (rig.accepted(0).await, rig.executed(0).await)
}

/// Guards against a drain that comes late, is undone, or cuts off streams, and against an endpoint
/// that gets no work after it was resumed.
#[test]
fn drained_endpoints_get_no_new_work() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(51, 8));
        rig.until_spread(8).await;
        let steady = Load::start(rig.quick(52, 300));
        rig.drain(0, "review-1", false).await;
        rig.drain(1, "labels-1", false).await;
        tokio::time::sleep(LEAVING_LIMIT).await;
        let before = work(&rig).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        let later = Load::start(rig.quick(53, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert_eq!(work(&rig).await, before, "new work while leaving");

        for name in ["review-1", "labels-1"] {
            rig.drain(1, name, true).await;
            rig.until_serving(name).await;
        }
        let again = Load::start(rig.quick(54, 60)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"60 whole");
        let after = work(&rig).await;
        assert!(
            after.0 > before.0 && after.1 > before.1,
            "no work after the resume: {before:?} {after:?}"
        );
    });
}

/// Guards against an endpoint that keeps getting work although its host is listed as leaving, and
/// against one that stays without work after its host is listed as live again.
#[test]
fn endpoints_of_leaving_hosts_get_no_new_work() {
    run(async {
        let rig = Rig::spawn(fleet::Config {
            host_lag: Duration::from_secs(1),
            ..fleet::Config::default()
        })
        .await;
        let streams = Load::start(rig.streams(55, 8));
        rig.until_spread(8).await;
        let steady = Load::start(rig.quick(56, 300));
        rig.list_host("host-review-1", "leaving").await;
        tokio::time::sleep(LEAVING_LIMIT).await;
        let before = rig.accepted(0).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"300 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"8 whole");
        assert_eq!(rig.accepted(0).await, before, "new work while leaving");

        rig.list_host("host-review-1", "live").await;
        rig.until_serving("review-1").await;
        let again = Load::start(rig.quick(57, 60)).end().await;
        insta::assert_snapshot!(again.outcomes(), @"60 whole");
        assert!(rig.accepted(0).await > before, "no work after the return");
    });
}

/// Guards against a drain that a lagging host list undoes, which still shows the host as live.
#[test]
fn lagging_host_list_does_not_undo_a_drain() {
    run(async {
        let rig = Rig::spawn(fleet::Config {
            host_lag: Duration::from_hours(1),
            ..fleet::Config::default()
        })
        .await;
        rig.drain(0, "review-1", false).await;
        rig.until_status("the endpoint is leaving", |status| {
            endpoint(status, "review-1")["leaving"] == true
        })
        .await;
        let before = rig.accepted(0).await;
        let steady = Load::start(rig.quick(58, 120)).end().await;
        insta::assert_snapshot!(steady.outcomes(), @"120 whole");
        assert_eq!(rig.accepted(0).await, before, "new work while leaving");
    });
}
