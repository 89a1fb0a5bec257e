use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    id::{self, Endpoint, Fence, Group, Incarnation},
    store::{Path, Result},
    wire::Change,
};

/// Value of the plan key of an endpoint: the order that is in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Plan {
    pub(super) order: id::Order,
    pub(super) change: Change,
    pub(super) fence: Fence,
    pub(super) incarnation: Incarnation,
    pub(super) phase: Phase,
}

/// Phase of a planned order. There is only one: a second write before the change would not show
/// that the change has begun, because a crash can also happen between that write and the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    /// The change may have been applied, in full or in part.
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

/// How an interrupted change that is not in effect is settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settlement {
    /// Apply the change again.
    Finish(Change),
    /// Remove the partial result by applying this change.
    RollBack(Change),
    /// Leave the endpoint as it was before the change.
    Leave,
}

/// Decides how an interrupted change that is not in effect is settled. `still_held` says whether
/// the holder that ordered the change still holds the group.
///
/// Drain and unload are finished if the group is still held: both only withdraw capacity from new
/// work, and routing already relies on them. A load is rolled back, because a partial load occupies
/// memory. After a role change that was not applied, the endpoint keeps its old role; another
/// change would cost a further outage of seconds. Resume is not repeated: an endpoint that may be
/// leaving stays drained until a holder orders the resume again. If the group is no longer held by
/// the same holder, only a partial load is removed.
pub(super) fn settlement(change: &Change, still_held: bool) -> Settlement {
    match change {
        Change::Drain | Change::Unload(_) if still_held => Settlement::Finish(change.clone()),
        Change::Load(model) => Settlement::RollBack(Change::Unload(model.clone())),
        Change::Drain | Change::Unload(_) | Change::Role(_) | Change::Resume => Settlement::Leave,
    }
}

/// Store key of the plan of an endpoint.
pub(super) fn plan_path(endpoint: &Endpoint) -> Result<Path> {
    format!("/mulberrymill/plan/{endpoint}").parse()
}

/// Store key whose revision of creation is the fencing number of a group.
pub(super) fn group_path(group: &Group) -> Result<Path> {
    format!("/mulberrymill/authority/{group}").parse()
}
