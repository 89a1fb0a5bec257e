use std::collections::BTreeMap;

use actix::Message;
use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    authority::Tenure,
    config::Section,
    id::{Class, Editor, Endpoint, Group, Process, Revision},
    routing::EndpointStatus,
};

/// Reads all sections.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<Snapshot>")]
pub struct Read;

/// All sections at one revision of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the document.
    pub revision: Revision,
    /// Sections by name.
    pub sections: BTreeMap<String, SectionText>,
}

/// A section as it was last accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SectionText {
    /// Revision at which the section was accepted; the base of a next edit.
    pub revision: Revision,
    /// Who edited it.
    pub editor: Editor,
    /// Its text.
    pub text: String,
}

/// Edits a section. Answers with the revision at which the edit was accepted.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Revision>")]
pub struct Put {
    /// The section.
    pub section: Section,
    /// Its new text.
    pub text: String,
    /// Revision of the section that the edit is based on; 0 if there was none.
    pub base: Revision,
    /// Who edits.
    pub editor: Editor,
}

/// Writes all sections of a first document. Answers with its revision.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Revision>")]
pub struct Create {
    /// The whole document.
    pub text: String,
    /// Who writes it.
    pub editor: Editor,
}

/// Drains an endpoint, or lets it take work again. The intent is kept in the store until it is
/// replaced, and carried out by the holder of the endpoint's group.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<()>")]
pub struct Drain {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it should take no new work.
    pub drain: bool,
}

/// Asks for the state of the entry.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<StatusReport>")]
pub struct Status;

/// What an entry knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the entry.
    pub process: Process,
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Endpoints as the entry sees them.
    pub endpoints: Vec<EndpointStatus>,
    /// Who holds authority over each group; while the store is down, only what the entry itself
    /// holds.
    pub authority: BTreeMap<Group, Tenure>,
    /// Ended requests per class since the entry was started.
    pub classes: BTreeMap<Class, Count>,
}

/// Ended requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Whole answers inside the target of the class.
    pub served: u64,
    /// Whole answers after the target.
    pub late: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Failed otherwise.
    pub failed: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Whole answer inside the target.
    Served,
    /// Whole answer after the target.
    Late,
    /// Refused without being run.
    Refused,
    /// Failed otherwise.
    Failed,
}

/// A request ended.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Tally {
    /// Its class.
    pub class: Class,
    /// How it ended.
    pub verdict: Verdict,
}
