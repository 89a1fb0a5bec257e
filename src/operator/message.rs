use std::collections::BTreeMap;

use actix::Message;
use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    authority::GroupHolder,
    config::Section,
    id::{Class, Editor, Endpoint, Group, Process, Revision},
    routing::EndpointStatus,
};

/// Reads all sections of the document from the store.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<Snapshot>")]
pub struct Read;

/// All sections at one revision of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the document.
    pub revision: Revision,
    /// Sections that exist in the store, by name.
    pub sections: BTreeMap<String, SectionText>,
}

/// A section with its last accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SectionText {
    /// Revision of the last accepted edit, which is the base of the next one.
    pub revision: Revision,
    /// Editor that made the last accepted edit.
    pub editor: Editor,
    /// JSON text with comments.
    pub text: String,
}

/// Replaces the text of a section. Returns the revision of the accepted edit.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Revision>")]
pub struct Put {
    /// Section to replace.
    pub section: Section,
    /// New text of the section, JSON with comments.
    pub text: String,
    /// Revision of the section on which the edit is based; 0 if the section does not exist.
    pub base: Revision,
    /// Name of the editor, which is stored with the section.
    pub editor: Editor,
}

/// Creates the document. Returns its revision, or `Kind::EditConflict` if any section exists.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Revision>")]
pub struct Create {
    /// Text of the whole document, JSON with comments.
    pub text: String,
    /// Name of the editor, which is stored with every section.
    pub editor: Editor,
}

/// Drains an endpoint or resumes it. The intent is stored until it is replaced, and applied by the
/// entry that holds the authority over the group of the endpoint.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<()>")]
pub struct Drain {
    /// Endpoint to drain or resume.
    pub endpoint: Endpoint,
    /// `true` to send the endpoint no new requests, `false` to resume it.
    pub drain: bool,
}

/// Returns the state of the entry.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<StatusReport>")]
pub struct Status;

/// State of the document, endpoints, groups and requests as known to one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// Process name of the entry.
    pub process: Process,
    /// Revision of the document that the entry uses.
    pub revision: Revision,
    /// Endpoints with their state as known to the entry.
    pub endpoints: Vec<EndpointStatus>,
    /// Holder of the authority over each group. While the store is unavailable, only the groups that
    /// the entry itself holds.
    pub authority: BTreeMap<Group, GroupHolder>,
    /// Numbers of ended requests per class since the start of the entry.
    pub classes: BTreeMap<Class, OutcomeCounts>,
}

/// Numbers of ended requests of a class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests with a complete response within the targets of the class.
    pub served: u64,
    /// Requests with a complete response after a target of the class.
    pub late: u64,
    /// Requests that were refused without being executed.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
}

/// Outcome of a request, as counted in [`OutcomeCounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response within the targets of the class.
    Served,
    /// A complete response after a target of the class.
    Late,
    /// A refusal before the request was executed.
    Refused,
    /// Any other failure.
    Failed,
}

/// Counts an ended request; sent by the relay of the entry.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Tally {
    /// Service class of the request.
    pub class: Class,
    /// Outcome of the request.
    pub verdict: RequestOutcome,
}
