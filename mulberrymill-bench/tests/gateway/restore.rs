//! The store is restored from an older copy: revisions go back and are given out again.

use mulberrymill_bench::platform::Endpoint;
use serde_json::{Value, json};

use super::{Harness, config};

/// Number of requests that show where a gateway sends them.
const REQUESTS: usize = 20;

/// Guards against a plan that reverts to that of the copy, or a later one that is never read because its
/// revision was given out before (CONFIG).
#[actix_web::test]
async fn plan_neither_reverts_nor_stops_changing_after_a_restore() {
    let (harness, _endpoints) = Harness::with_two_services().await;
    let backup = harness.store.back_up();
    harness.store.put("op/config", &config(9, "s2"));
    harness.wait_until_answered_by("e2").await;
    // The follower waits between two calls, and no call fails.
    harness.store.restore(backup.clone());
    for _ in 0..REQUESTS {
        assert!(harness.send("/plain/1").await.contains("e2"));
    }
    harness.store.put("op/config", &config(11, "s1"));
    harness.wait_until_answered_by("e1").await;
    harness.store.restore(backup);
    harness.store.put("servers/e9", &json!({}));
    harness.store.put("op/config", &config(11, "s1"));
    for _ in 0..REQUESTS {
        assert!(harness.send("/plain/1").await.contains("e1"));
    }
    harness.store.put("op/config", &config(14, "s2"));
    harness.wait_until_answered_by("e2").await;
}

fn entry(endpoint: &Endpoint, state: &str, sequence: u64) -> Value {
    let mut entry = endpoint.entry("s1", state);
    entry["born"] = json!(1_700_000_000_000_u64);
    entry["seq"] = json!(sequence);
    entry
}

/// Guards against requests to an endpoint that drains or has left, because the copy lists it as ready
/// (DRAIN).
#[actix_web::test]
async fn copy_of_the_store_does_not_undo_a_drain_or_a_removal() {
    let harness = Harness::open().await;
    let endpoints = ["e1", "e2", "e3", "e4"].map(|id| Endpoint::bind(id).expect("a free port"));
    let [draining, removed, sound, late] = &endpoints;
    harness.store.put("op/config", &config(3, "s1"));
    harness
        .store
        .put("servers/e1", &entry(draining, "ready", 3));
    harness.store.put("servers/e2", &entry(removed, "ready", 3));
    harness.wait_until_answered_by("e1").await;
    harness.wait_until_answered_by("e2").await;
    let backup = harness.store.back_up();
    harness
        .store
        .put("servers/e1", &entry(draining, "draining", 5));
    harness.store.remove("servers/e2");
    harness.store.put("servers/e3", &entry(sound, "ready", 1));
    harness.wait_until_answered_by("e3").await;
    harness.store.restore(backup);
    // Its answers show that the endpoints were read again.
    harness.store.put("servers/e4", &entry(late, "ready", 1));
    let before = [draining, removed].map(|endpoint| endpoint.seen().len());
    harness.wait_until_answered_by("e4").await;
    for _ in 0..REQUESTS {
        harness.send("/plain/1").await;
    }
    assert_eq!(
        [draining, removed].map(|endpoint| endpoint.seen().len()),
        before
    );
    harness.store.put("servers/e2", &entry(removed, "ready", 4));
    harness.wait_until_answered_by("e2").await;
}
