use mulberrymill_bench::{
    fleet::{self, Process},
    load,
};

use crate::common::{Load, Rig, endpoint, run, targets, until};

async fn until_down(rig: &Rig, name: &str) {
    rig.until_status("the entries have given up the agent", |status| {
        endpoint(status, name)["up"] == false
    })
    .await;
}

/// Guards against streams that hang on a frozen agent, and against parts of an answer that it sends
/// late and that reach a caller.
#[test]
fn streams_of_a_frozen_agent_are_resumed() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let streams = Load::start(rig.streams(61, 6));
        rig.until_spread(6).await;
        rig.until_decoding(0).await;
        rig.fleet.agents[0].freeze().expect("it runs");
        until_down(&rig, "review-1").await;
        // Not before, because the retry budget does not cover what else waits for the agent.
        let steady = Load::start(rig.answers(62, 60)).end().await;
        insta::assert_snapshot!(steady.outcomes(), @"60 whole");
        insta::assert_snapshot!(streams.end().await.outcomes(), @"6 whole");

        let before = rig.accepted(0).await;
        rig.fleet.agents[0].thaw().expect("it runs");
        rig.until_serving("review-1").await;
        let later = Load::start(rig.quick(63, 60)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"60 whole");
        assert!(rig.accepted(0).await > before, "no work after the thaw");
    });
}

/// Guards against print orders that a thawed agent runs although they were given up, and against
/// orders that run again at another agent when their callers repeat them.
#[test]
fn operations_of_a_frozen_agent_run_once() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        let prints = Load::start(rig.prints(64, 200));
        rig.until_executed(0, 5).await;
        rig.fleet.agents[2].freeze().expect("it runs");
        until_down(&rig, "labels-1").await;
        rig.fleet.agents[2].thaw().expect("it runs");
        let prints = prints.end().await;
        assert!(prints.ends_clearly(), "{}", prints.outcomes());
        rig.until_serving("labels-1").await;
        let again = Load::start(rig.prints(64, 200)).end().await;
        assert!(again.ends_clearly(), "{}", again.outcomes());
    });
}

/// Guards against two holders of a group: an entry that was frozen for longer than its lease must
/// not undo what the next holder ordered.
#[test]
fn orders_of_a_frozen_entry_have_no_effect() {
    run(async {
        let rig = Rig::spawn(fleet::Config::default()).await;
        until("an entry holds the engines", async || {
            rig.fence(0, "review").await.is_some() || rig.fence(1, "review").await.is_some()
        })
        .await;
        let holder = usize::from(rig.fence(0, "review").await.is_none());
        let other = 1 - holder;
        let old = rig.fence(holder, "review").await.expect("it holds them");
        let streams = Load::start(rig.streams(65, 6));
        rig.until_spread(6).await;
        let prints = Load::start(rig.prints(68, 60));
        rig.until_executed(0, 5).await;
        rig.fleet.entries[holder].freeze().expect("it runs");

        let steady = Load::start(load::Config {
            targets: targets(
                rig.fleet
                    .entries
                    .iter()
                    .map(Process::address)
                    .skip(other)
                    .take(1),
            ),
            ..rig.quick(66, 120)
        });
        rig.drain(other, "review-1", false).await;
        until("the other entry holds the engines", async || {
            let fence = rig.fence(other, "review").await;
            fence.is_some_and(|fence| fence > old)
        })
        .await;
        let is_leaving = async |entry: usize| {
            let status = rig.fleet.status(entry).await.unwrap_or_default();
            endpoint(&status, "review-1")["leaving"] == true
        };
        until("the drain is in effect", async || is_leaving(other).await).await;
        insta::assert_snapshot!(steady.end().await.outcomes(), @"120 whole");
        let before = rig.accepted(0).await;

        rig.fleet.entries[holder].thaw().expect("it runs");
        until("the thawed entry sees the drain", async || {
            is_leaving(holder).await
        })
        .await;
        for name in ["review-2", "labels-1", "labels-2"] {
            rig.until_serving(name).await;
        }
        let streams = streams.end().await;
        assert!(streams.ends_clearly(), "{}", streams.outcomes());
        // Those that waited for the frozen entry may see a closed connection, but none ran twice.
        prints.end().await;
        let later = Load::start(rig.quick(67, 120)).end().await;
        insta::assert_snapshot!(later.outcomes(), @"120 whole");
        assert!(is_leaving(other).await && is_leaving(holder).await);
        assert_eq!(rig.accepted(0).await, before, "new work while leaving");
        assert_eq!(rig.fence(holder, "review").await, None);

        rig.drain(holder, "review-1", true).await;
        rig.until_serving("review-1").await;
    });
}
