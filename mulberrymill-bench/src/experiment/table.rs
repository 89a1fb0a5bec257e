use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
};

use serde::Serialize;

use super::{
    Deployment, Figures, Plan, Policies, Scenario, UpperBound, deployment::as_f64, run, upper_bound,
};

/// Number of entries in the comparison of policies.
const ENTRY_COUNT: usize = 4;
/// Numbers of entries whose goodput is compared under the same load.
const SCALING_ENTRY_COUNTS: [usize; 2] = [1, 8];
/// Policies that the targets apply to.
const EVALUATED: [Policies; 2] = [Policies::Default, Policies::Proposed];

/// Results of all policies in a scenario.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Comparison {
    /// Deployment that was simulated.
    pub deployment: Deployment,
    /// Scenario that was simulated.
    pub scenario: Scenario,
    /// Seed of the arrivals and random choices.
    pub seed: u64,
    /// Results by policies.
    pub policies: BTreeMap<Policies, Figures>,
    /// Upper bound on the worth.
    pub bound: UpperBound,
    /// Goodput with 1 and 8 entries, for the default and for the proposed policies.
    pub entries: [[f64; 2]; 2],
    /// Targets of the default and the proposed policies, with the measured values.
    pub targets: Vec<Target>,
}

/// Comparisons of all simulated scenarios.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Results(pub Vec<Comparison>);

/// Target for a measured value.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Target {
    /// Policies and quantity that the target is for.
    pub name: String,
    /// Minimum value.
    pub least: f64,
    /// Measured value.
    pub measured: f64,
    /// Whether the measured value reaches the minimum.
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
    let policies =
        Policies::ALL.map(|policies| (policies, run(&plan, policies, ENTRY_COUNT, seed)));
    let mut comparison = Comparison {
        deployment,
        scenario,
        seed,
        policies: policies.into(),
        bound: upper_bound(&plan),
        entries: EVALUATED.map(|policies| {
            SCALING_ENTRY_COUNTS.map(|count| run(&plan, policies, count, seed).goodput)
        }),
        targets: Vec::new(),
    };
    let all = (0..EVALUATED.len()).flat_map(|index| measure_targets(&plan, &comparison, index));
    comparison.targets = all.collect();
    comparison
}

fn measure_targets(plan: &Plan, comparison: &Comparison, index: usize) -> Vec<Target> {
    use Scenario::{Fault, FloodLow, FloodUrgent, Shift, Stale};
    let policies = EVALUATED[index];
    let figures = &comparison.policies[&policies];
    let urgent = plan
        .deployment
        .class(crate::load::Kind::Verdict)
        .to_string();
    let scenario = comparison.scenario;
    let mut targets = Vec::new();
    if matches!(scenario, Shift | FloodLow | Fault | Stale) {
        let fraction = figures.classes[&urgent].in_target;
        targets.push(Target::new(format!("{urgent} in target"), 0.99, fraction));
    }
    if scenario == FloodUrgent {
        let others = figures.classes.iter();
        let others = others.filter(|(name, _)| {
            plan.document
                .classes
                .keys()
                .any(|class| class.as_str() == *name)
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
        let fraction = comparison.bound.fraction_reached(figures.worth);
        targets.push(Target::new("worth against the bound", 0.9, fraction));
    }
    if matches!(scenario, FloodLow | FloodUrgent | Fault) {
        let baselines = [Policies::RoundRobin, Policies::LeastInFlight];
        let best = baselines.map(|policies| comparison.policies[&policies].worth);
        let best = best.into_iter().max().unwrap_or(0).max(1);
        let factor = as_f64(figures.worth) / as_f64(best);
        targets.push(Target::new(
            "worth against the better baseline",
            1.5,
            factor,
        ));
    }
    let [one, eight] = comparison.entries[index];
    let fraction = eight / one.max(f64::MIN_POSITIVE);
    targets.push(Target::new(
        "goodput of 8 entries against 1",
        0.95,
        fraction,
    ));
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

/// Formats a comparison as Markdown tables.
#[must_use]
pub fn markdown(comparison: &Comparison) -> String {
    let mut text = format!(
        "### {}, {}, seed {}\n\n\
         | policies | class | sent | good | late (first, between, whole) | lateness | refused | failed | in target | kept | first p99 |\n\
         | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
        comparison.deployment, comparison.scenario, comparison.seed
    );
    for (policies, figures) in &comparison.policies {
        for (name, class) in &figures.classes {
            let [first, between, whole] = class.missed;
            let _infallible = writeln!(
                text,
                "| {policies} | {name} | {} | {} | {} ({first}, {between}, {whole}) | {:.0} ms | {} | {} | {:.1}% | {:.2} | {:.0} ms |",
                class.sent,
                class.good,
                class.late,
                class.lateness_ms,
                class.refused,
                class.failed,
                class.in_target * 100.0,
                class.kept,
                class.first_ms.p99,
            );
        }
    }
    text.push_str("\n| policies | goodput | worth | of the bound | prefix hits | role changes |\n| --- | ---: | ---: | ---: | ---: | ---: |\n");
    for (policies, figures) in &comparison.policies {
        let _infallible = writeln!(
            text,
            "| {policies} | {:.1}/s | {} | {:.1}% | {:.1}% | {} |",
            figures.goodput,
            figures.worth,
            comparison.bound.fraction_reached(figures.worth) * 100.0,
            figures.prefix_hits * 100.0,
            figures.role_changes,
        );
    }
    let _infallible = writeln!(
        text,
        "| upper bound | | {:.0} | 100.0% | | |\n\n| target | least | measured | |\n| --- | ---: | ---: | --- |",
        comparison.bound.worth
    );
    for target in &comparison.targets {
        let met = if target.met { "met" } else { "missed" };
        let _infallible = writeln!(
            text,
            "| {} | {:.2} | {:.3} | {met} |",
            target.name, target.least, target.measured
        );
    }
    text
}
