use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{self, Edit, Revision},
};

/// Stored value of a section.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Envelope {
    /// Editor that wrote the section.
    pub(super) editor: id::Editor,
    /// Random id of the edit, by which its writer recognizes it after a lost response.
    pub(super) edit: Edit,
    /// Revision of the section that this edit replaced. After a lost response, it tells a writer
    /// whether this edit was applied instead of its own or after it.
    pub(super) base: Revision,
    /// Text of the section.
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
