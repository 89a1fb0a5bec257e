use std::net::SocketAddr;

use mulberrymill::front::hash_key;
use serde_json::{Map, Value, json};

use crate::fleet::{CALLER_KEY, MODEL};

/// The `endpoints` section with the fleet's engines and the agent stand-ins, distributed over
/// `groups`.
pub(super) fn endpoints(
    real: &[(String, SocketAddr)],
    peers: &[(String, SocketAddr)],
    groups: usize,
) -> String {
    let mut all = Map::new();
    for (index, (name, agent)) in real.iter().chain(peers).enumerate() {
        let endpoint = json!({
            "kind": "engine",
            "group": group(index % groups.max(1)),
            "host": format!("host-{name}"),
            "zone": zone(index),
            "agent": agent,
            "fenced": true,
            "models": [MODEL],
            "slots": 256,
        });
        all.insert(name.clone(), endpoint);
    }
    Value::Object(all).to_string()
}

/// Group 0 is `review`, the one named in the `roles` section of the fleet's document.
fn group(index: usize) -> String {
    if index == 0 {
        return "review".to_owned();
    }
    format!("group-{index:02}")
}

pub(super) fn zone(index: usize) -> String {
    format!("zone-{}", ["a", "b", "c", "d", "e", "f"][index % 6])
}

/// The `callers` section with as many callers as fill about `size` bytes.
pub(super) fn callers(size: usize) -> String {
    let caller = |key: &str| {
        json!({
            "key_sha256": hash_key(key),
            "classes": ["verdict", "check", "review"],
            "rate": "100000/s",
            "in_progress": 20_000,
        })
    };
    let mut all = Map::new();
    all.insert("kitchen".to_owned(), caller(CALLER_KEY));
    let caller_bytes = caller(CALLER_KEY).to_string().len() + r#""caller-00000":,"#.len();
    for index in 1..(size / caller_bytes).max(1) {
        all.insert(format!("caller-{index:05}"), caller(&index.to_string()));
    }
    Value::Object(all).to_string()
}
