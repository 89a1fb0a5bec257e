mod actor;

use std::collections::BTreeSet;

use super::*;
use crate::{
    id::{Endpoint, Group, Revision},
    relay::tests::fake::document,
    wire::{Load, Report, Role},
};

fn endpoint(name: &str) -> Endpoint {
    name.parse().expect("valid name")
}

fn group(name: &str) -> Group {
    name.parse().expect("valid name")
}

fn report(name: &str, leaving: bool, models: &[&str]) -> Report {
    let models = models
        .iter()
        .map(|model| model.parse().expect("valid name"));
    Report {
        entries: 1,
        endpoint: endpoint(name),
        revision: Revision::new(7),
        leaving,
        drained: leaving,
        paused_for: std::time::Duration::ZERO,
        role: Role::Mixed,
        models: models.collect(),
        load: Load::default(),
    }
}

/// Inputs with reports of agents, endpoints that operators want to drain, and leaving hosts.
fn inputs(reports: &[Report], intents: &[&str], leaving: &[&str]) -> Inputs {
    let intent = |name: &&str| (endpoint(name), Intent { drain: true });
    let hosts = leaving.iter().map(|host| host.parse().expect("valid name"));
    Inputs {
        document: (*document()).clone(),
        intents: Some(intents.iter().map(intent).collect()),
        leaving: Some(hosts.collect()),
        reports: reports
            .iter()
            .map(|report| (report.endpoint.clone(), report.clone()))
            .collect(),
    }
}

/// Guards against orders that nothing asks for, against orders to endpoints of other holders or
/// without a report, and against an engine that is left without a model.
#[test]
fn plan_brings_endpoints_to_the_desired_state() {
    let engine = |leaving, models: &[&str]| [report("allergen-1", leaving, models)];
    let desired = ["allergen"];
    let host = ["allergen-host-1"];
    let intent = ["allergen-1"];
    let cases = [
        (
            "in the desired state",
            inputs(&engine(false, &desired), &[], &[]),
        ),
        (
            "drain intent",
            inputs(&engine(false, &desired), &intent, &[]),
        ),
        (
            "drained on intent",
            inputs(&engine(true, &desired), &intent, &[]),
        ),
        (
            "drained without a model",
            inputs(&engine(true, &[]), &intent, &[]),
        ),
        ("leaving host", inputs(&engine(false, &desired), &[], &host)),
        (
            "drained on a leaving host",
            inputs(&engine(true, &desired), &[], &host),
        ),
        (
            "drained without a reason",
            inputs(&engine(true, &desired), &[], &[]),
        ),
        (
            "leaving without an order",
            inputs(
                &[Report {
                    drained: false,
                    paused_for: std::time::Duration::ZERO,
                    ..report("allergen-1", true, &desired)
                }],
                &[],
                &[],
            ),
        ),
        (
            "load before unload",
            inputs(&engine(false, &["old"]), &[], &[]),
        ),
        (
            "unload",
            inputs(&engine(false, &["old", "allergen"]), &[], &[]),
        ),
        (
            "drain before load",
            inputs(&engine(false, &["old"]), &intent, &[]),
        ),
        ("without a report", inputs(&[], &intent, &host)),
        (
            "not in the document",
            inputs(
                &[report("allergen-99", false, &desired)],
                &["allergen-99"],
                &[],
            ),
        ),
        (
            "group that is not held",
            inputs(&[report("labels-1", false, &[])], &["labels-1"], &[]),
        ),
    ];
    let held = BTreeSet::from([group("allergen")]);
    let plans = cases.map(|(name, inputs)| (name, plan(&inputs, &held)));
    insta::assert_debug_snapshot!(plans);
    let service = inputs(&[report("labels-1", false, &[])], &["labels-1"], &[]);
    insta::assert_debug_snapshot!(plan(&service, &BTreeSet::from([group("labels")])));
}
