//! Entries of other writers among those of the endpoints.

use std::collections::BTreeSet;

use super::*;

/// Requests after which a test has met every endpoint that is in use.
const REQUESTS: usize = 30;

/// Opens a gateway with the endpoints `e1` and `e2` of service `s1`, and an endpoint that has no
/// entry of its own.
async fn open_harness() -> (Harness, [Endpoint; 3]) {
    let harness = Harness::open().await;
    let endpoints = ["e1", "e2", "decoy"].map(|id| Endpoint::bind(id).expect("a free port"));
    for (id, endpoint) in ["e1", "e2"].iter().zip(&endpoints) {
        let entry = endpoint.entry("s1", "ready");
        harness.store.put(&format!("servers/{id}"), &entry);
    }
    (harness, endpoints)
}

/// The answers to some requests, without repetitions.
async fn answers(harness: &Harness) -> BTreeSet<String> {
    let mut answers = BTreeSet::new();
    for _ in 0..REQUESTS {
        answers.insert(harness.send("/plain/1").await);
    }
    answers
}

/// Adds an endpoint, and returns the answers once it is in use.
async fn answers_after_change(harness: &Harness, id: &str) -> (Endpoint, BTreeSet<String>) {
    let endpoint = Endpoint::bind(id).expect("a free port");
    let entry = endpoint.entry("s1", "ready");
    harness.store.put(&format!("servers/{id}"), &entry);
    harness.wait_until_answered_by(id).await;
    (endpoint, answers(harness).await)
}

/// Guards against an item of the store that cannot be read and makes its whole page or batch
/// unreadable, so that the gateway knows no endpoint and reads the list again and again.
#[actix_web::test]
async fn unreadable_items_cost_only_themselves() {
    let (harness, _endpoints) = open_harness().await;
    let deep = |key: &str| {
        let (open, close) = ("[".repeat(500), "]".repeat(500));
        format!(r#"{{"key":"{key}","rev":1000,"value":{open}{close}}}"#)
    };
    let items = [
        ("servers/e1a", "7"),
        ("servers/e1b", r#"{"key":"servers/e1b","rev":2.5}"#),
        ("servers/e1c", r#"{"key":"\ud800","rev":1,"value":"e30="}"#),
        ("servers/e1d", &deep("servers/e1d")),
        ("servers/e1e", r#"{"key":"servers/e1e","rev":1e999}"#),
        (
            "servers/e1f",
            r#"{"key":"servers/e1f","rev":1,"value":null}"#,
        ),
        (
            "servers/e1g",
            r#"{"key":"servers/e1g","rev":1,"value":"?"}"#,
        ),
    ];
    for (key, text) in items {
        harness.store.put_odd_item(key, text);
    }
    harness.store.put("op/config", &config(3, "s1"));
    harness.wait_until_ready().await;
    let mut steps = vec![answers(&harness).await];
    let calls = harness.store.range_calls();
    let (_e3, later) = answers_after_change(&harness, "e3").await;
    steps.push(later);
    harness
        .store
        .put_odd_item("servers/e2", &deep("servers/e2"));
    let (_e4, later) = answers_after_change(&harness, "e4").await;
    steps.push(later);
    assert_eq!(harness.store.range_calls(), calls);
    insta::assert_debug_snapshot!(steps);
}

/// Guards against an entry of another writer that is used as an endpoint, displaces one, or sends
/// requests back to the gateway itself.
#[actix_web::test]
async fn odd_entries_name_no_endpoint() {
    let (harness, [_e1, _e2, decoy]) = open_harness().await;
    let with = |field: &str, value: Value| {
        let mut entry = decoy.entry("s1", "ready");
        entry[field] = value;
        entry.to_string()
    };
    let port = decoy.address().port();
    let odd_seq = |seq: &str| with("seq", json!(123)).replace("123", seq);
    let entries = [
        (
            "o01",
            odd_seq(&format!("{}{}", "[".repeat(500), "]".repeat(500))),
        ),
        ("o02", odd_seq("1e999")),
        ("o03", with("slots", json!(u64::MAX))),
        ("o04", with("slots", json!(u32::MAX))),
        ("o05", with("slots", json!(0))),
        ("o06", with("address", json!("127.0.0.1:70000"))),
        ("o07", with("address", json!("127.0.0.1:0"))),
        ("o08", with("address", json!(format!("0.0.0.0:{port}")))),
        ("o09", with("address", json!("224.0.0.1:80"))),
        ("o11", with("state", json!("dancing"))),
        ("o12", with("seq", Value::Null)),
        ("o13", "[".repeat(100_000)),
        ("z/e1", with("seq", json!(1))),
    ];
    for (id, entry) in entries {
        harness
            .store
            .put_bytes(&format!("servers/{id}"), entry.into_bytes());
    }
    harness.store.put_bytes("servers/o14", vec![0xff, 0xfe, 0]);
    harness.store.put("op/config", &config(3, "s1"));
    harness.wait_until_ready().await;
    let mut steps = vec![answers(&harness).await];
    let calls = harness.store.range_calls();
    harness.store.put_bytes("servers/e2", b"{}".to_vec());
    let (_e3, later) = answers_after_change(&harness, "e3").await;
    steps.push(later);
    assert_eq!(harness.store.range_calls(), calls);
    assert_eq!(decoy.seen(), []);
    insta::assert_debug_snapshot!(steps);
}

/// Guards against an entry with the gateway's own address, to which it would send each request again
/// and again until the deadline.
#[actix_web::test]
async fn request_is_not_sent_back_to_its_gateway() {
    let (harness, [endpoint, ..]) = open_harness().await;
    let mut own = endpoint.entry("s2", "ready");
    own["address"] = json!(harness.gateway.address());
    harness.store.put("servers/own", &own);
    harness.store.put("op/config", &config(3, "s2"));
    harness.wait_until_ready().await;
    insta::assert_snapshot!(harness.send("/plain/1").await);
}
