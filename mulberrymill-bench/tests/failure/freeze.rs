use mulberrymill_bench::{
    fleet::{self, Process},
    load,
};

use crate::common::{Harness, Load, endpoint, run, targets, wait_until};

/// Waits until every running entry reports the endpoint as down.
async fn wait_until_down(harness: &Harness, name: &str) {
    harness
        .wait_until_status("the endpoint is down", |status| {
            endpoint(status, name)["up"] == false
        })
        .await;
}

/// Guards against streams that hang on a frozen agent, and against output that it sends after it is
/// thawed and that reaches a caller.
#[test]
fn streams_of_a_frozen_agent_are_resumed() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let streams = Load::start(harness.stream_requests(61, 6));
        harness.wait_until_spread(6).await;
        harness.wait_until_decoding(0).await;
        harness.fleet.agents[0]
            .freeze()
            .expect("the process is running");
        wait_until_down(&harness, "review-1").await;
        // Starts only now, because the retry budget would not cover these requests if they waited
        // for the frozen agent as well.
        let steady = Load::start(harness.engine_requests(62, 60)).end().await;
        insta::assert_snapshot!(steady.outcomes(), @"60 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");

        let before = harness.accepted(0).await;
        harness.fleet.agents[0]
            .thaw()
            .expect("the process is running");
        harness.wait_until_serving("review-1").await;
        let later = Load::start(harness.short_requests(63, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert!(
            harness.accepted(0).await > before,
            "no new work after the thaw"
        );
    });
}

/// Guards against print operations that a thawed agent executes after the entries have given them
/// up, and against a second execution at another agent when callers retry them.
#[test]
fn operations_of_a_frozen_agent_run_at_most_once() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        let prints = Load::start(harness.print_requests(64, 200));
        harness.wait_until_executed(0, 5).await;
        harness.fleet.agents[2]
            .freeze()
            .expect("the process is running");
        wait_until_down(&harness, "labels-1").await;
        harness.fleet.agents[2]
            .thaw()
            .expect("the process is running");
        let prints = prints.end().await;
        assert!(prints.reports_every_failure(), "{}", prints.outcomes());
        harness.wait_until_serving("labels-1").await;
        let again = Load::start(harness.print_requests(64, 200)).end().await;
        assert!(again.reports_every_failure(), "{}", again.outcomes());
    });
}

/// Guards against two holders of a group: an entry that was frozen for longer than its lease must
/// not undo a drain that the next holder ordered.
#[test]
fn orders_of_an_expired_holder_have_no_effect() {
    run(async {
        let harness = Harness::spawn(fleet::Config::default()).await;
        wait_until("an entry holds the engine group", async || {
            harness.fencing_token(0, "review").await.is_some()
                || harness.fencing_token(1, "review").await.is_some()
        })
        .await;
        let holder = usize::from(harness.fencing_token(0, "review").await.is_none());
        let other = 1 - holder;
        let old_token = harness
            .fencing_token(holder, "review")
            .await
            .expect("it holds the engine group");
        let streams = Load::start(harness.stream_requests(65, 6));
        harness.wait_until_spread(6).await;
        let prints = Load::start(harness.print_requests(68, 60));
        harness.wait_until_executed(0, 5).await;
        harness.fleet.entries[holder]
            .freeze()
            .expect("the process is running");

        let steady = Load::start(load::Config {
            targets: targets(
                harness
                    .fleet
                    .entries
                    .iter()
                    .map(Process::address)
                    .skip(other)
                    .take(1),
            ),
            ..harness.short_requests(66, 120)
        });
        harness.drain(other, "review-1", false).await;
        wait_until("the other entry holds the engine group", async || {
            let token = harness.fencing_token(other, "review").await;
            token.is_some_and(|token| token > old_token)
        })
        .await;
        let is_leaving = async |entry: usize| {
            let status = harness.fleet.status(entry).await.unwrap_or_default();
            endpoint(&status, "review-1")["leaving"] == true
        };
        wait_until("the drain is in effect", async || is_leaving(other).await).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"120 whole");
        let before = harness.accepted(0).await;

        harness.fleet.entries[holder]
            .thaw()
            .expect("the process is running");
        wait_until("the thawed entry sees the drain", async || {
            is_leaving(holder).await
        })
        .await;
        for name in ["review-2", "labels-1", "labels-2"] {
            harness.wait_until_serving(name).await;
        }
        let streams = streams.end().await;
        assert!(streams.reports_every_failure(), "{}", streams.outcomes());
        // Requests that waited for the frozen entry may fail with a closed connection, but no
        // operation is executed twice.
        prints.end().await;
        let later = Load::start(harness.short_requests(67, 120)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"120 whole");
        assert!(is_leaving(other).await && is_leaving(holder).await);
        assert_eq!(
            harness.accepted(0).await,
            before,
            "new work while the endpoint is leaving"
        );
        assert_eq!(harness.fencing_token(holder, "review").await, None);

        harness.drain(holder, "review-1", true).await;
        harness.wait_until_serving("review-1").await;
    });
}
