use std::time::Duration;

use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::StdRng};

use super::*;

fn route(name: &str, prefix: &str, targets: Vec<Target>) -> Route {
    Route {
        name: name.parse().expect("a valid name"),
        host: "kitchen.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        targets,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(150),
        rank: 0,
        attempts: 1,
        event_gap: None,
        public: false,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.parse().expect("a valid name"),
        weight,
    }
}

fn plan() -> Plan {
    let prefixes = ["/labels/", "/labels/print/", "/reviews/"];
    let routes = prefixes.map(|prefix| route(&prefix.replace('/', "."), prefix, Vec::new()));
    Plan::new(Version::new(3), routes.to_vec(), Limits::default())
}

/// Guards against a request that matches the wrong route.
#[test]
fn route_with_longest_prefix_matches() {
    let plan = plan();
    let cases = [
        ("kitchen.example", "/labels/7"),
        ("kitchen.example", "/labels/print/7"),
        ("kitchen.example", "/labels/print"),
        ("Kitchen.Example:8080", "/reviews/"),
        ("kitchen.example", "/reviews"),
        ("kitchen.example", ""),
        ("other.example", "/labels/7"),
    ];
    let found = cases.map(|(host, path)| {
        let name = plan.find(host, path).map(|route| route.name.to_string());
        format!(
            "{host}{path}: {}",
            name.unwrap_or_else(|| "none".to_owned())
        )
    });
    insta::assert_json_snapshot!(found);
}

/// Guards against a distribution that ignores the weights, or sends requests to a target with
/// weight 0.
#[test]
fn targets_are_selected_by_weight() {
    let mut rng = StdRng::seed_from_u64(7);
    let route = route(
        "split",
        "/",
        vec![target("a", 9), target("none", 0), target("b", 1)],
    );
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..1000 {
        let service = route
            .select_service(&mut rng)
            .expect("a target")
            .to_string();
        *counts.entry(service).or_insert(0) += 1;
    }
    insta::assert_json_snapshot!(counts);
}

/// Guards against weights whose sum overflows, which ends a request or sends it to a single target.
#[test]
fn large_weights_are_shared() {
    let mut rng = StdRng::seed_from_u64(7);
    let route = route(
        "split",
        "/",
        vec![target("a", u32::MAX), target("b", u32::MAX)],
    );
    let selected: std::collections::BTreeSet<String> = (0..100)
        .filter_map(|_| route.select_service(&mut rng))
        .map(ToString::to_string)
        .collect();
    assert_eq!(selected.len(), 2);
}

proptest! {
    /// Guards against a panic on unusual hosts and paths, such as ones with non-ASCII characters.
    #[test]
    fn any_host_and_path_can_be_looked_up(host in ".*", path in ".*") {
        let plan = plan();
        if let Some(route) = plan.find(&host, &path) {
            prop_assert!(path.starts_with(&route.prefix));
        }
    }
}
