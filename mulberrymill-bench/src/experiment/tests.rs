use std::time::Duration;

use super::{Deployment, Plan, Policies, Scenario, run, upper_bound};

/// First 3 seconds of a scenario, which are sufficient to tell seeds apart.
fn short_plan(scenario: Scenario, seed: u64) -> Plan {
    let mut plan = Plan::new(Deployment::Santiago, scenario, seed);
    plan.length = Duration::from_secs(3);
    let length = plan.length;
    plan.arrivals.retain(|(arrival, _)| arrival.at < length);
    plan
}

/// Guards against results that depend on anything but the seed, such as the order of a hash map.
#[test]
fn same_seed_gives_same_figures() {
    let runs = [1, 1, 2].map(|seed| {
        let plan = short_plan(Scenario::Steady, seed);
        run(&plan, Policies::Default, 2, seed)
    });
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
    insta::assert_debug_snapshot!(runs[0].classes.keys().collect::<Vec<_>>());
}

/// Guards against requests without an outcome, and against a policy that exceeds the upper bound.
#[test]
fn every_request_ends_and_bound_holds() {
    for policies in Policies::ALL {
        let plan = short_plan(Scenario::Steady, 3);
        let figures = run(&plan, policies, 2, 3);
        let ended =
            |class: &super::ClassFigures| class.good + class.late + class.refused + class.failed;
        assert!(
            figures
                .classes
                .values()
                .all(|class| ended(class) == class.sent)
        );
        assert!(
            upper_bound(&plan).fraction_reached(figures.worth) <= 1.0,
            "{policies}"
        );
    }
}
