use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    id::{self, Endpoint, Fence, Group, Incarnation},
    store::{Path, Result},
    wire::Change,
};

/// Value of the plan key: the order that is in progress at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Plan {
    pub(super) order: id::Order,
    pub(super) change: Change,
    pub(super) fence: Fence,
    pub(super) incarnation: Incarnation,
    pub(super) phase: Phase,
}

/// Phase of a planned order. There is one phase only: a second write before the effect would not
/// tell more, because a crash can follow either write before the effect begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    /// The effect may have begun.
    Planned,
}

impl Plan {
    pub(super) fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self)
            .map_err(|error| Error::new(Kind::Internal, "plan is not encodable").with_source(error))
    }

    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// What is done about an interrupted change that is not in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settlement {
    /// The change is applied again.
    Finish(Change),
    /// Its remains are removed.
    RollBack(Change),
    /// The endpoint is as before the change.
    Leave,
}

/// Decides about an interrupted change that is not in effect.
///
/// Drain and unload are finished while their lease is held: both only take capacity away from new
/// work, and routing already counts on them. A load is rolled back, since a partial load occupies
/// memory. A role change that did not arrive leaves the old role, whose change back would cost
/// another outage of seconds. Resume is not repeated: an endpoint that may be leaving stays drained
/// until a holder asks again. When the lease has changed hands, only the remains of a load go.
pub(super) fn settlement(change: &Change, held: bool) -> Settlement {
    match change {
        Change::Drain | Change::Unload(_) if held => Settlement::Finish(change.clone()),
        Change::Load(model) => Settlement::RollBack(Change::Unload(model.clone())),
        Change::Drain | Change::Unload(_) | Change::Role(_) | Change::Resume => Settlement::Leave,
    }
}

/// Key of the plan of an endpoint.
pub(super) fn plan_path(endpoint: &Endpoint) -> Result<Path> {
    format!("/mulberrymill/plan/{endpoint}").parse()
}

/// Key of the lease of a group.
pub(super) fn lease_path(group: &Group) -> Result<Path> {
    format!("/mulberrymill/authority/{group}").parse()
}
