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
        role: Role::Mixed,
        models: models.collect(),
        load: Load::default(),
    }
}

/// What is known if the agents sent `reports`, with intents to drain endpoints and leaving hosts.
fn known(reports: &[Report], intents: &[&str], leaving: &[&str]) -> Known {
    let intent = |name: &&str| (endpoint(name), Intent { drain: true });
    let hosts = leaving.iter().map(|host| host.parse().expect("valid name"));
    Known {
        document: (*document()).clone(),
        intents: Some(intents.iter().map(intent).collect()),
        leaving: Some(hosts.collect()),
        reports: reports
            .iter()
            .map(|report| (report.endpoint.clone(), report.clone()))
            .collect(),
    }
}

/// Guards against orders that no one asked for, to endpoints of other holders or of unknown state,
/// and against an engine that is left without a model.
#[test]
fn changes_follow_from_what_is_known() {
    let engine = |leaving, models: &[&str]| [report("allergen-1", leaving, models)];
    let right = ["allergen"];
    let host = ["allergen-host-1"];
    let intent = ["allergen-1"];
    let cases = [
        ("as it should be", known(&engine(false, &right), &[], &[])),
        ("drain intent", known(&engine(false, &right), &intent, &[])),
        ("drained", known(&engine(true, &right), &intent, &[])),
        (
            "drained without a model",
            known(&engine(true, &[]), &intent, &[]),
        ),
        ("leaving host", known(&engine(false, &right), &[], &host)),
        (
            "on a leaving host",
            known(&engine(true, &right), &[], &host),
        ),
        ("resumed", known(&engine(true, &right), &[], &[])),
        (
            "leaving for a reason of its own",
            known(
                &[Report {
                    drained: false,
                    ..report("allergen-1", true, &right)
                }],
                &[],
                &[],
            ),
        ),
        (
            "load before unload",
            known(&engine(false, &["old"]), &[], &[]),
        ),
        (
            "unload",
            known(&engine(false, &["old", "allergen"]), &[], &[]),
        ),
        (
            "drain before load",
            known(&engine(false, &["old"]), &intent, &[]),
        ),
        ("not heard of", known(&[], &intent, &host)),
        (
            "not in the document",
            known(
                &[report("allergen-99", false, &right)],
                &["allergen-99"],
                &[],
            ),
        ),
        (
            "group that is not held",
            known(&[report("labels-1", false, &[])], &["labels-1"], &[]),
        ),
    ];
    let held = BTreeSet::from([group("allergen")]);
    let plans = cases.map(|(name, known)| (name, plan(&known, &held)));
    insta::assert_debug_snapshot!(plans);
    let service = known(&[report("labels-1", false, &[])], &["labels-1"], &[]);
    insta::assert_debug_snapshot!(plan(&service, &BTreeSet::from([group("labels")])));
}
