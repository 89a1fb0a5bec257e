use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
};

use serde::Serialize;

use super::{Deployment, Figures, Limit, Plan, Policies, Scenario, bound, deployment::as_f64, run};

/// Entries in front of the engines.
const ENTRIES: usize = 4;
/// Numbers of entries that are compared on the same load.
const FEW_MANY: [usize; 2] = [1, 8];
/// Policies that the targets are for.
const OWN: [Policies; 2] = [Policies::Default, Policies::Proposed];

/// The figures of one scenario.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Comparison {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Seed.
    pub seed: u64,
    /// By policies.
    pub policies: BTreeMap<Policies, Figures>,
    /// Upper bound on the worth.
    pub bound: Limit,
    /// Goodput with 1 and 8 entries, of the default and of the proposed policies.
    pub entries: [[f64; 2]; 2],
    /// Targets with what was measured.
    pub targets: Vec<Target>,
}

/// All comparisons of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Results(pub Vec<Comparison>);

/// A target and whether it is met.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Target {
    /// What is measured.
    pub name: String,
    /// Least value.
    pub least: f64,
    /// Measured value.
    pub measured: f64,
    /// Whether it is met.
    pub met: bool,
}

impl Target {
    fn new(name: impl Into<String>, least: f64, measured: f64) -> Self {
        Self {
            name: name.into(),
            least,
            measured,
            met: measured >= least,
        }
    }
}

/// Runs all policies on the plan of a scenario.
#[must_use]
pub fn compare(deployment: Deployment, scenario: Scenario, seed: u64) -> Comparison {
    let plan = Plan::new(deployment, scenario, seed);
    let policies = Policies::ALL.map(|one| (one, run(&plan, one, ENTRIES, seed)));
    let mut comparison = Comparison {
        deployment,
        scenario,
        seed,
        policies: policies.into(),
        bound: bound(&plan),
        entries: OWN.map(|own| FEW_MANY.map(|count| run(&plan, own, count, seed).goodput)),
        targets: Vec::new(),
    };
    let all = (0..OWN.len()).flat_map(|index| targets(&plan, &comparison, index));
    comparison.targets = all.collect();
    comparison
}

fn targets(plan: &Plan, comparison: &Comparison, index: usize) -> Vec<Target> {
    use Scenario::{Fault, FloodLow, FloodUrgent, Shift, Stale};
    let policies = OWN[index];
    let own = &comparison.policies[&policies];
    let urgent = plan
        .deployment
        .class(crate::load::Kind::Verdict)
        .to_string();
    let scenario = comparison.scenario;
    let mut targets = Vec::new();
    if matches!(scenario, Shift | FloodLow | Fault | Stale) {
        let part = own.classes[&urgent].in_target;
        targets.push(Target::new(format!("{urgent} in target"), 0.99, part));
    }
    if scenario == FloodUrgent {
        let others = own.classes.iter();
        let others = others.filter(|(name, _)| {
            plan.document
                .classes
                .keys()
                .any(|one| one.as_str() == *name)
        });
        for (name, class) in others.filter(|(name, _)| **name != urgent) {
            targets.push(Target::new(
                format!("share kept by {name}"),
                0.95,
                class.kept,
            ));
        }
    }
    if scenario == Shift {
        let part = comparison.bound.reached(own.worth);
        targets.push(Target::new("worth against the bound", 0.9, part));
    }
    if matches!(scenario, FloodLow | FloodUrgent | Fault) {
        let baselines = [Policies::RoundRobin, Policies::LeastInFlight];
        let better = baselines.map(|one| comparison.policies[&one].worth);
        let better = better.into_iter().max().unwrap_or(0).max(1);
        let factor = as_f64(own.worth) / as_f64(better);
        targets.push(Target::new(
            "worth against the better baseline",
            1.5,
            factor,
        ));
    }
    let [one, eight] = comparison.entries[index];
    let part = eight / one.max(f64::MIN_POSITIVE);
    targets.push(Target::new("goodput of 8 entries against 1", 0.95, part));
    for target in &mut targets {
        target.name = format!("{policies}: {}", target.name);
    }
    targets
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&markdown(self))
    }
}

/// The comparison as Markdown tables.
#[must_use]
pub fn markdown(comparison: &Comparison) -> String {
    let mut text = format!(
        "### {}, {}, seed {}\n\n\
         | policies | class | sent | good | late (first, between, whole) | lateness | refused | failed | in target | kept | first p99 |\n\
         | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
        comparison.deployment, comparison.scenario, comparison.seed
    );
    for (policies, figures) in &comparison.policies {
        for (name, one) in &figures.classes {
            let [first, between, whole] = one.missed;
            let _infallible = writeln!(
                text,
                "| {policies} | {name} | {} | {} | {} ({first}, {between}, {whole}) | {:.0} ms | {} | {} | {:.1}% | {:.2} | {:.0} ms |",
                one.sent,
                one.good,
                one.late,
                one.lateness_ms,
                one.refused,
                one.failed,
                one.in_target * 100.0,
                one.kept,
                one.first_ms.p99,
            );
        }
    }
    text.push_str("\n| policies | goodput | worth | of the bound | prefix hits | role changes |\n| --- | ---: | ---: | ---: | ---: | ---: |\n");
    for (policies, one) in &comparison.policies {
        let _infallible = writeln!(
            text,
            "| {policies} | {:.1}/s | {} | {:.1}% | {:.1}% | {} |",
            one.goodput,
            one.worth,
            comparison.bound.reached(one.worth) * 100.0,
            one.prefix_hits * 100.0,
            one.role_changes,
        );
    }
    let _infallible = writeln!(
        text,
        "| upper bound | | {:.0} | 100.0% | | |\n\n| target | least | measured | |\n| --- | ---: | ---: | --- |",
        comparison.bound.worth
    );
    for one in &comparison.targets {
        let met = if one.met { "met" } else { "missed" };
        let _infallible = writeln!(
            text,
            "| {} | {:.2} | {:.3} | {met} |",
            one.name, one.least, one.measured
        );
    }
    text
}
