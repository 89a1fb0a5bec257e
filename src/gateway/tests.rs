use std::{sync::Arc, time::Duration};

use actix::Addr;
use tokio::sync::watch;

use super::{ActivePlan, imp::follow_services};
use crate::{
    clock::System,
    directory::{Availability, Codec, Instance, Update},
    dispatch::{self, Choose, Demand, Dispatcher, Need, SetInstances, TakeDigest},
    error::{Error, Kind, Result},
    id::Revision,
    route::{Limits, Plan, Service, Version},
    store::{Change, Event, Item, Path},
    testing::with_paused_time,
    unit::Tokens,
};

/// Decodes a version number as a plan without routes.
#[derive(Debug)]
struct VersionOnly;

impl Codec for VersionOnly {
    fn instance(&self, _path: &Path, _value: &[u8]) -> Result<Instance> {
        Err(Error::new(Kind::BadRequest, "no endpoint"))
    }

    fn plan(&self, value: &[u8]) -> Result<Plan> {
        let text = std::str::from_utf8(value).unwrap_or_default();
        let version: Version = text.parse()?;
        Ok(Plan::new(version, Vec::new(), Limits::default()))
    }
}

fn path(key: &str) -> Path {
    key.parse().expect("a valid path")
}

fn snapshot(key: &str, value: &str) -> Update {
    Update::Snapshot(vec![Item {
        path: path(key),
        value: value.as_bytes().to_vec(),
        created: Revision::new(1),
        modified: Revision::new(2),
    }])
}

fn change(change: Change) -> Update {
    Update::Changes(vec![Event {
        path: path("/plan"),
        change,
        revision: Revision::new(3),
    }])
}

fn put(value: &str) -> Update {
    change(Change::Put(value.as_bytes().to_vec()))
}

/// Guards against a plan that reverts after a stale read, is dropped with the connection to the
/// store, or is replaced by an invalid one.
#[test]
fn active_plan_is_replaced_only_by_a_newer_version() {
    let mut active_plan = ActivePlan::new(Arc::new(VersionOnly), path("/plan"));
    let receiver = active_plan.subscribe();
    let feeds = [
        ("nothing is known", Update::Snapshot(Vec::new())),
        ("another key", snapshot("/planned", "9")),
        ("first plan", snapshot("/plan", "4")),
        ("newer plan", put("7")),
        ("stale read", snapshot("/plan", "4")),
        ("same version", put("7")),
        ("unreadable plan", put("seven")),
        ("removed", change(Change::Delete)),
        (
            "store lost",
            Update::Availability(Availability::Unavailable),
        ),
        ("empty read", Update::Snapshot(Vec::new())),
        ("newest plan", put("12")),
    ];
    let states = feeds.map(|(name, update)| {
        active_plan.apply(update, Duration::ZERO);
        let version = receiver
            .borrow()
            .as_ref()
            .map(|plan| plan.version().to_string());
        format!("{name}: {}", version.unwrap_or_else(|| "none".to_owned()))
    });
    insta::assert_debug_snapshot!(states);
}

/// Guards against a plan that reverts to that of the copy from which the store was restored, and against
/// ignoring a later one whose revision was given out before (CONFIG).
#[test]
fn plan_survives_a_restore_of_the_store() {
    let mut active_plan = ActivePlan::new(Arc::new(VersionOnly), path("/plan"));
    let receiver = active_plan.subscribe();
    let feeds = [
        ("first plan", snapshot("/plan", "4")),
        ("confirmed", put("7")),
        ("restored", Update::Restored),
        ("copy", snapshot("/plan", "4")),
        ("written again", put("7")),
        ("restored", Update::Restored),
        ("copy without a plan", Update::Snapshot(Vec::new())),
        ("newer, at a revision given out before", put("9")),
    ];
    let versions = feeds.map(|(name, update)| {
        active_plan.apply(update, Duration::ZERO);
        let version = receiver
            .borrow()
            .as_ref()
            .map(|plan| plan.version().to_string());
        format!("{name}: {}", version.unwrap_or_default())
    });
    insta::assert_debug_snapshot!(versions);
}

/// Engines whose memory the dispatcher reports to peers.
async fn limited_engines(dispatcher: &Addr<Dispatcher>) -> Vec<String> {
    // Lets the task that follows the plan run.
    tokio::time::sleep(Duration::from_millis(1)).await;
    let digest = dispatcher.send(TakeDigest).await.expect("it runs");
    let tokens = digest.tokens.into_iter();
    tokens
        .map(|occupancy| format!("{}: {}", occupancy.endpoint, occupancy.own))
        .collect()
}

/// Guards against memory of engines that does not reach the dispatcher, or stays limited after the plan
/// limits it no more.
#[test]
fn memory_of_engines_follows_the_plan() {
    let plan = |version, kv_tokens| {
        let service = ("lm".parse().expect("a valid name"), Service { kv_tokens });
        let plan = Plan::new(Version::new(version), Vec::new(), Limits::default());
        Some(Arc::new(plan.with_services([service].into())))
    };
    let seen = with_paused_time(async {
        let zone: crate::id::Zone = "a".parse().expect("a valid name");
        let dispatcher = dispatch::spawn(dispatch::Config::new(System::shared(), zone.clone()));
        dispatcher.do_send(SetInstances(vec![Arc::new(Instance {
            id: "e1".parse().expect("a valid name"),
            service: "lm".parse().expect("a valid name"),
            address: "127.0.0.1:9001".parse().expect("an address"),
            zone,
            slots: 4,
            draining: false,
            stage: None,
            started: None,
        })]));
        let plans = watch::Sender::new(None);
        actix_rt::spawn(follow_services(plans.subscribe(), dispatcher.clone()));
        let demand = Demand {
            service: "lm".parse().expect("a valid name"),
            need: Need::Start,
            rank: 0,
            prompt: Tokens::new(1_000),
            max_output: Tokens::new(20),
            route: None,
            customer: None,
            latency_target: Duration::from_secs(1),
            waited: Duration::ZERO,
            shared_prefix: Tokens::ZERO,
            shared_parts: Arc::default(),
            affinity: None,
            remaining: Duration::from_mins(1),
            excluded: Vec::new(),
            preferred_zone: None,
        };
        let ticket = dispatcher.send(Choose(demand)).await.expect("it runs");
        let ticket = ticket.expect("e1");
        let mut seen = vec![("no plan", limited_engines(&dispatcher).await)];
        for (what, version, tokens) in [
            ("limited", 1, Some(Tokens::new(9_000))),
            ("limited no more", 2, None),
            ("limited again", 3, Some(Tokens::new(9_000))),
        ] {
            plans.send_replace(plan(version, tokens));
            seen.push((what, limited_engines(&dispatcher).await));
        }
        drop(ticket);
        seen.push(("request ended", limited_engines(&dispatcher).await));
        seen
    });
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a confirmation by an answer that does not show that the active plan is the newest, and
/// against one that moves back in time.
#[test]
fn only_answers_that_show_the_newest_plan_confirm_it() {
    let mut active_plan = ActivePlan::new(Arc::new(VersionOnly), path("/plan"));
    let confirmed = active_plan.subscribe_confirmed();
    let quiet = || Update::Changes(Vec::new());
    let feeds = [
        ("nothing is known", Update::Snapshot(Vec::new())),
        ("quiet", quiet()),
        ("first plan", snapshot("/plan", "4")),
        ("quiet", quiet()),
        ("unreadable plan", put("seven")),
        ("quiet", quiet()),
        ("newer plan", put("7")),
        ("deleted", change(Change::Delete)),
        ("quiet", quiet()),
        ("read again", snapshot("/plan", "7")),
        (
            "store lost",
            Update::Availability(Availability::Unavailable),
        ),
        ("restored", Update::Restored),
        ("older copy", snapshot("/plan", "4")),
        ("quiet", quiet()),
        ("written again", put("7")),
        ("quiet", quiet()),
    ];
    let mut states = Vec::new();
    for (second, (name, update)) in (1..).zip(feeds) {
        active_plan.apply(update, Duration::from_secs(second));
        states.push(format!("{second} s, {name}: {:?}", *confirmed.borrow()));
    }
    active_plan.apply(quiet(), Duration::from_secs(3));
    states.push(format!(
        "answer to an earlier call: {:?}",
        *confirmed.borrow()
    ));
    insta::assert_debug_snapshot!(states);
}

/// Guards against a process that has just started, and confirms the plan of an older copy from which the store was
/// restored (CONFIG): keys that were removed since would be accepted.
#[test]
fn started_process_confirms_no_plan_that_the_store_may_have_lost() {
    enum Feed {
        Store(Update),
        EraSince(u64),
        Peer(&'static str),
    }
    use Feed::{EraSince, Peer, Store};
    let quiet = || Store(Update::Changes(Vec::new()));
    let copy = || Store(snapshot("/plan", "3"));
    let cases = [
        (
            "nothing else is known",
            vec![copy(), quiet(), quiet(), quiet(), quiet()],
        ),
        (
            "written again",
            vec![copy(), quiet(), Store(put("4")), quiet()],
        ),
        ("restored long ago", vec![copy(), EraSince(2), quiet()]),
        (
            "restored a short time ago",
            vec![copy(), EraSince(8), quiet(), quiet()],
        ),
        (
            "restored once more",
            vec![
                copy(),
                EraSince(9),
                Store(Update::Restored),
                copy(),
                quiet(),
                quiet(),
                quiet(),
            ],
        ),
        ("a peer has confirmed it", vec![copy(), Peer("3"), quiet()]),
        (
            "restored after a confirmation",
            vec![
                Store(put("4")),
                Store(Update::Restored),
                copy(),
                Store(put("4")),
            ],
        ),
    ];
    let mut outcomes = Vec::new();
    for (name, feeds) in cases {
        let active_plan = ActivePlan::new(Arc::new(VersionOnly), path("/plan"));
        let mut active_plan = active_plan.with_rewrite_time(Duration::from_secs(3));
        let confirmed = active_plan.subscribe_confirmed();
        let mut states = Vec::new();
        for (second, feed) in (10..).zip(feeds) {
            let now = Duration::from_secs(second);
            match feed {
                Store(update) => active_plan.apply(update, now),
                EraSince(since) => active_plan.observe_era(Duration::from_secs(since)),
                Peer(version) => active_plan.confirm(version.parse().ok(), now),
            }
            states.push(confirmed.borrow().map(|as_of| as_of.as_secs()));
        }
        outcomes.push(format!("{name}: {states:?}"));
    }
    insta::assert_debug_snapshot!(outcomes);
}
