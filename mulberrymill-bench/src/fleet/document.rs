use std::net::SocketAddr;

use mulberrymill::front::hash_key;
use serde_json::{Map, Value, json};

/// Bearer key of the caller `kitchen`.
pub const CALLER_KEY: &str = "kitchen-example-key";
/// Bearer key of operators.
pub const OPERATOR_KEY: &str = "operator-example-key";
/// Model that every engine serves.
pub const MODEL: &str = "allergen-7b";
/// Name of the service that the service endpoints run.
pub const SERVICE: &str = "labels";

/// An agent listed in the document: the name of its endpoint and the address it listens on.
#[derive(Clone, Debug)]
pub(super) struct NamedAgent {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Configuration document for engines and service endpoints, given as endpoint names and the
/// addresses of their agents.
#[must_use]
pub fn document(engines: &[(String, SocketAddr)], services: &[(String, SocketAddr)]) -> String {
    let named_agent = |(name, address): &(String, SocketAddr)| NamedAgent {
        name: name.clone(),
        address: *address,
    };
    let engines: Vec<NamedAgent> = engines.iter().map(named_agent).collect();
    let services: Vec<NamedAgent> = services.iter().map(named_agent).collect();
    let document = json!({
        "models": { MODEL: { "version": "1", "context": "32768 tokens" } },
        "classes": classes(),
        "roles": { "review": { "change_cost": "4s", "pay_back": "60s", "at_once": "25%" } },
        "callers": { "kitchen": {
            "key_sha256": hash_key(CALLER_KEY),
            "classes": ["verdict", "check", "review"],
            "rate": "100000/s",
            "in_progress": 20_000,
        } },
        "services": { SERVICE: { "operations": {
            "print": { "repeatable": false, "class": "verdict", "timeout": "5s" },
            "confirm": { "repeatable": false, "class": "verdict", "timeout": "5s" },
            "status": { "repeatable": true, "class": "check", "timeout": "5s" },
        } } },
        "endpoints": endpoints(&engines, &services),
        "limits": {
            "body": "1MiB",
            "max_output": "8192 tokens",
            "longest": "10min",
        },
    });
    format!("{document:#}")
}

fn classes() -> Value {
    json!({
        "verdict": {
            "rank": 1, "first_token": "1s", "between_tokens": "73ms", "whole": "2s",
            "worth": 20, "share": "30%",
        },
        "check": {
            "rank": 2, "first_token": "2s", "between_tokens": "100ms", "whole": "10s",
            "worth": 5, "share": "30%",
        },
        "review": {
            "rank": 3, "first_token": "5s", "between_tokens": "200ms", "whole": "60s",
            "worth": 2, "share": "20%",
        },
    })
}

fn endpoints(engines: &[NamedAgent], services: &[NamedAgent]) -> Value {
    let mut all = Map::new();
    for (index, agent) in engines.iter().enumerate() {
        let endpoint = json!({
            "kind": "engine",
            "group": "review",
            "host": format!("host-{}", agent.name),
            "zone": zone(index),
            "agent": agent.address,
            "fenced": true,
            "models": [MODEL],
            "slots": 256,
        });
        all.insert(agent.name.clone(), endpoint);
    }
    for (index, agent) in services.iter().enumerate() {
        let endpoint = json!({
            "kind": "service",
            "group": SERVICE,
            "host": format!("host-{}", agent.name),
            "zone": zone(index),
            "agent": agent.address,
            "fenced": false,
            "service": SERVICE,
            "slots": 256,
        });
        all.insert(agent.name.clone(), endpoint);
    }
    Value::Object(all)
}

/// Availability zone of the endpoint or entry with an index.
pub(super) fn zone(index: usize) -> String {
    format!("scl-{}", ["a", "b", "c", "d"][index % 4])
}
