//! Actor behind the operator interface of an entry: reads and edits sections of the document, drains
//! endpoints, and reports the state of the entry.

mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use imp::{Config, Console, DocumentValidator, spawn};
pub use message::{
    Create, Drain, OutcomeCounts, Put, Read, RequestOutcome, SectionText, Snapshot, Status,
    StatusReport, Tally,
};

pub use crate::error::Result;
