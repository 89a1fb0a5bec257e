use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{self, Edit, Revision},
};

/// Value of a section in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Envelope {
    /// Who wrote it.
    pub(super) editor: id::Editor,
    /// By which the writer recognizes its own write.
    pub(super) edit: Edit,
    /// Revision of the section that this edit replaced. It tells a writer whose answer was lost
    /// whether another edit came instead of its own or on top of it.
    pub(super) base: Revision,
    /// The section.
    pub(super) text: String,
}

impl Envelope {
    pub(super) fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|error| {
            Error::new(Kind::Internal, "cannot encode the edit").with_source(error)
        })
    }

    pub(super) fn decode(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).map_err(|error| {
            Error::new(Kind::Internal, "a section in the store is malformed").with_source(error)
        })
    }
}
