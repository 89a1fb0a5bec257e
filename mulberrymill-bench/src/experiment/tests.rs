use std::time::Duration;

use super::{Deployment, Plan, Policies, Scenario, bound, run};

/// The first seconds of a scenario, which are enough to see a difference.
fn short(scenario: Scenario, seed: u64) -> Plan {
    let mut plan = Plan::new(Deployment::Santiago, scenario, seed);
    plan.length = Duration::from_secs(3);
    let length = plan.length;
    plan.arrivals.retain(|(arrival, _)| arrival.at < length);
    plan
}

/// Guards against results that depend on anything but the seed, such as the order of a hash map.
#[test]
fn same_seed_gives_the_same_figures() {
    let runs = [1, 1, 2].map(|seed| {
        let plan = short(Scenario::Steady, seed);
        run(&plan, Policies::Default, 2, seed)
    });
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
    insta::assert_debug_snapshot!(runs[0].classes.keys().collect::<Vec<_>>());
}

/// Guards against requests that are lost, and against a bound that a policy exceeds.
#[test]
fn every_request_ends_and_the_bound_holds() {
    for policies in Policies::ALL {
        let plan = short(Scenario::Steady, 3);
        let figures = run(&plan, policies, 2, 3);
        let ended = |one: &super::Class| one.good + one.late + one.refused + one.failed;
        assert!(figures.classes.values().all(|one| ended(one) == one.sent));
        assert!(bound(&plan).reached(figures.worth) <= 1.0, "{policies}");
    }
}
