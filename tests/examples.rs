//! The example files are valid and describe the two deployments.

use std::{collections::BTreeSet, fs, path::PathBuf};

use mulberrymill::{
    config::{self, Document, EndpointKind},
    id::Revision,
    settings,
};

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "examples", name]
        .iter()
        .collect()
}

fn summary(name: &str) -> String {
    let text = fs::read_to_string(path(name)).expect("example exists");
    let document = config::parse(name, &text).unwrap_or_else(|faults| panic!("{faults}"));
    let sections = config::split(&text).unwrap_or_else(|faults| panic!("{faults}"));
    let again = config::assemble(Revision::default(), &sections);
    assert_eq!(again.unwrap_or_else(|faults| panic!("{faults}")), document);
    describe(&document)
}

fn describe(document: &Document) -> String {
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

/// Guards against an example document that the program refuses or that `split` changes.
#[test]
fn documents_are_valid() {
    insta::assert_snapshot!(format!(
        "{}\n{}",
        summary("santiago.jsonc"),
        summary("java.jsonc")
    ));
}

/// Guards against example settings that the program refuses.
#[test]
fn settings_are_valid() {
    let entry = settings::Entry::open(path("entry.jsonc"));
    let entry = entry.unwrap_or_else(|faults| panic!("{faults}"));
    let agent = settings::Agent::open(path("agent.jsonc"));
    let agent = agent.unwrap_or_else(|faults| panic!("{faults}"));
    let text = fs::read_to_string(path("santiago.jsonc")).expect("example exists");
    let document = config::parse("santiago.jsonc", &text).unwrap_or_else(|f| panic!("{f}"));
    let endpoint = &document.endpoints[&agent.endpoint];
    assert_eq!(endpoint.agent, agent.listen);
    assert_eq!(endpoint.zone, agent.zone);
    insta::assert_debug_snapshot!((entry, agent));
}

/// Guards against a template whose result the gateway refuses at its start.
#[test]
fn template_of_the_gateway_is_valid() {
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
        ("{{bounds.graceS}}", "8"),
    ];
    let text = values
        .iter()
        .fold(template.to_owned(), |text, (name, value)| {
            text.replace(name, value)
        });
    insta::assert_debug_snapshot!(mulberrymill::settings::Gateway::parse(
        "gateway.jsonc",
        &text
    ));
}
