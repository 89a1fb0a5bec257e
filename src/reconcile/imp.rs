use std::collections::{BTreeMap, BTreeSet};

use super::Intent;
use crate::{
    config::{Document, EndpointKind, EndpointSpec},
    id::{Endpoint, Group, Host},
    wire::{Change, Report},
};

/// Inputs of [`plan`]: the desired and the reported state.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// Configuration document in effect.
    pub document: Document,
    /// Intents of operators; `None` until they have been read.
    pub intents: Option<BTreeMap<Endpoint, Intent>>,
    /// Hosts that the host list marks as leaving; `None` until the list has been read.
    pub leaving: Option<BTreeSet<Host>>,
    /// Last report of each endpoint; absent before the first one, and after an answered order until
    /// the next one if the report still asks for the change.
    pub reports: BTreeMap<Endpoint, Report>,
}

/// Next change of each endpoint in the held groups whose reported state is not the desired one.
///
/// At most one change per endpoint: the one after it is planned from a later report. An endpoint
/// without a report gets none, because its state is unknown.
#[must_use]
pub fn plan(inputs: &Inputs, held: &BTreeSet<Group>) -> BTreeMap<Endpoint, Change> {
    let endpoints = inputs.document.endpoints.iter();
    let held_endpoints = endpoints.filter(|(_, spec)| held.contains(&spec.group));
    held_endpoints
        .filter_map(|(endpoint, spec)| {
            let report = inputs.reports.get(endpoint)?;
            Some((
                endpoint.clone(),
                next_change(inputs, endpoint, spec, report)?,
            ))
        })
        .collect()
}

fn next_change(
    inputs: &Inputs,
    endpoint: &Endpoint,
    spec: &EndpointSpec,
    report: &Report,
) -> Option<Change> {
    let intents = inputs.intents.as_ref();
    let intent = intents.and_then(|intents| intents.get(endpoint));
    let leaving_hosts = inputs.leaving.as_ref();
    let host_leaves = leaving_hosts.is_some_and(|hosts| hosts.contains(&spec.host));
    let drain = host_leaves || intent.is_some_and(|intent| intent.drain);
    match (drain, report.leaving) {
        (true, false) => Some(Change::Drain),
        // Until the intents and the host list have been read, the reason for the drain is unknown.
        // An endpoint that is leaving without an order, because its agent stops or the engine
        // drains itself, cannot be resumed; a resume would be ordered in vain in every round.
        (false, true) => {
            let reasons_known = intents.is_some() && leaving_hosts.is_some();
            (reasons_known && report.drained).then_some(Change::Resume)
        }
        // A leaving endpoint gets no new work, so its models need not be changed.
        (true, true) => None,
        (false, false) => model_change(spec, report),
    }
}

/// Next load or unload of an engine. Loads come first, so that the engine always has a model.
fn model_change(spec: &EndpointSpec, report: &Report) -> Option<Change> {
    if spec.kind != EndpointKind::Engine {
        return None;
    }
    let missing = spec
        .models
        .iter()
        .find(|model| !report.models.contains(model));
    if let Some(model) = missing {
        return Some(Change::Load(model.clone()));
    }
    let surplus = report
        .models
        .iter()
        .find(|model| !spec.models.contains(model));
    surplus.map(|model| Change::Unload(model.clone()))
}
