//! Checks that the example files and the deployment template are valid.

use std::{collections::BTreeSet, fs, path::PathBuf};

use mulberrymill::{
    config::{self, Document, EndpointKind},
    id::Revision,
    settings,
};

fn example_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "examples", name]
        .iter()
        .collect()
}

fn summarize_example(name: &str) -> String {
    let text = fs::read_to_string(example_path(name)).expect("the example file exists");
    let document = config::parse(name, &text).unwrap_or_else(|errors| panic!("{errors}"));
    let sections = config::split_sections(&text).unwrap_or_else(|errors| panic!("{errors}"));
    let reassembled = config::from_sections(Revision::default(), &sections);
    assert_eq!(
        reassembled.unwrap_or_else(|errors| panic!("{errors}")),
        document
    );
    summarize(&document)
}

fn summarize(document: &Document) -> String {
    let endpoints = document.endpoints.values();
    let zones: BTreeSet<_> = endpoints.clone().map(|endpoint| &endpoint.zone).collect();
    let engines = endpoints.clone().filter(|e| e.kind == EndpointKind::Engine);
    let operations = document.services.iter().flat_map(|(service, spec)| {
        let operations = spec.operations.iter();
        operations.map(move |(name, spec)| format!("{service}/{name}: {}", spec.repeatable))
    });
    let classes = document.classes.keys().map(ToString::to_string);
    format!(
        "zones {}, engines {}, endpoints {}, classes {}, repeatable {}",
        zones.len(),
        engines.count(),
        endpoints.len(),
        classes.collect::<Vec<_>>().join(" "),
        operations.collect::<Vec<_>>().join(", "),
    )
}

/// Guards against an example document that fails to parse, or that changes when it is split into
/// sections and reassembled.
#[test]
fn documents_are_valid() {
    insta::assert_snapshot!(format!(
        "{}\n{}",
        summarize_example("santiago.jsonc"),
        summarize_example("java.jsonc")
    ));
}

/// Guards against example settings that fail to parse, and against an example agent whose address
/// or zone differs from the example document.
#[test]
fn settings_are_valid() {
    let entry = settings::Entry::open(example_path("entry.jsonc"));
    let entry = entry.unwrap_or_else(|errors| panic!("{errors}"));
    let agent = settings::Agent::open(example_path("agent.jsonc"));
    let agent = agent.unwrap_or_else(|errors| panic!("{errors}"));
    let text = fs::read_to_string(example_path("santiago.jsonc")).expect("the example file exists");
    let document =
        config::parse("santiago.jsonc", &text).unwrap_or_else(|errors| panic!("{errors}"));
    let endpoint = &document.endpoints[&agent.endpoint];
    assert_eq!(endpoint.agent, agent.listen);
    assert_eq!(endpoint.zone, agent.zone);
    insta::assert_debug_snapshot!((entry, agent));
}

/// Guards against a deployment template that renders to settings the gateway rejects at startup.
#[test]
fn gateway_template_is_valid() {
    let template = include_str!("../deploy/gateway.jsonc");
    let values = [
        ("{{nodeName|json}}", "\"edge-santiago-a-1\""),
        ("{{zone|json}}", "\"santiago-a\""),
        ("{{listen.frontend|json}}", "\"10.1.0.38:8149\""),
        ("{{listen.readyAddr|json}}", "\"10.1.0.38:8141\""),
        ("{{ip}}", "10.1.0.38"),
        ("{{portRange.0}}", "7380"),
        ("{{platform.address|json}}", "\"10.200.1.7:8142\""),
        ("{{heartbeatMs}}", "1200"),
        ("{{bounds.drainMs}}", "4000"),
        ("{{bounds.graceS}}", "8"),
    ];
    let text = values
        .iter()
        .fold(template.to_owned(), |text, (placeholder, value)| {
            text.replace(placeholder, value)
        });
    insta::assert_debug_snapshot!(mulberrymill::settings::Gateway::parse(
        "gateway.jsonc",
        &text
    ));
}

/// Guards against a deploy file that passes an option which the gateway rejects at startup.
#[test]
fn duties_of_the_deploy_file_are_valid() {
    let deploy = include_str!("../deploy/system.toml");
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("DUTIES = '"));
    let template = line.and_then(|line| line.strip_suffix('\''));
    let values = [
        ("{{#cloud.address}}", ""),
        ("{{/cloud.address}}", ""),
        ("{{#bounds.windowS}}", ""),
        ("{{/bounds.windowS}}", ""),
        ("{{cloud.address|json}}", "\"10.200.1.9:8150\""),
        ("{{bounds.leaseMs}}", "3000"),
        ("{{bounds.fencingEnforced|json}}", "false"),
        ("{{cloud.dutyPerS|json}}", "50"),
        ("{{cloud.duties|json}}", "[\"usage\",\"autoscale\"]"),
        ("{{bounds.windowS}}", "5"),
        ("{{bounds.usageLateS}}", "10"),
    ];
    let template = template.expect("the deploy file passes duties").to_owned();
    let text = values.iter().fold(template, |text, (placeholder, value)| {
        text.replace(placeholder, value)
    });
    insta::assert_debug_snapshot!(settings::Duties::parse("duties", &text));
}
