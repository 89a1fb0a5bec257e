//! The store is restored from an older copy: revisions go back and are given out again.

use serde_json::json;

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
