use std::collections::{BTreeMap, BTreeSet};

use super::Intent;
use crate::{
    config::{Document, EndpointKind, EndpointSpec},
    id::{Endpoint, Group, Host},
    wire::{Change, Report},
};

/// What a reconciler knows.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The document in force.
    pub document: Document,
    /// Intents of operators; `None` before they were read.
    pub intents: Option<BTreeMap<Endpoint, Intent>>,
    /// Hosts that are listed as leaving; `None` before the list was read.
    pub leaving: Option<BTreeSet<Host>>,
    /// Last report of each endpoint whose agent can be reached.
    pub reports: BTreeMap<Endpoint, Report>,
}

/// The next change of each endpoint of the held groups that is not as it should be.
///
/// One change per endpoint: the next one is planned from the report after it. An endpoint that was
/// not heard of gets none, since nothing is known about its state.
#[must_use]
pub fn plan(known: &Known, held: &BTreeSet<Group>) -> BTreeMap<Endpoint, Change> {
    let endpoints = known.document.endpoints.iter();
    let of_held = endpoints.filter(|(_, spec)| held.contains(&spec.group));
    of_held
        .filter_map(|(endpoint, spec)| {
            let report = known.reports.get(endpoint)?;
            Some((
                endpoint.clone(),
                next_change(known, endpoint, spec, report)?,
            ))
        })
        .collect()
}

fn next_change(
    known: &Known,
    endpoint: &Endpoint,
    spec: &EndpointSpec,
    report: &Report,
) -> Option<Change> {
    let intents = known.intents.as_ref();
    let intent = intents.and_then(|intents| intents.get(endpoint));
    let hosts = known.leaving.as_ref();
    let host_leaves = hosts.is_some_and(|hosts| hosts.contains(&spec.host));
    let drain = host_leaves || intent.is_some_and(|intent| intent.drain);
    match (drain, report.leaving) {
        (true, false) => Some(Change::Drain),
        // An endpoint is not resumed for want of knowledge why it was drained, and one that leaves
        // for a reason of its own would be ordered in vain in every round.
        (false, true) => {
            let known = intents.is_some() && hosts.is_some();
            (known && report.drained).then_some(Change::Resume)
        }
        // A leaving endpoint is not prepared for work that it will not get.
        (true, true) => None,
        (false, false) => model_change(spec, report),
    }
}

/// Loads before it unloads, so that the endpoint is never left without a model.
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
