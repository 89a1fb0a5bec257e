//! Actor behind the operator interface of an entry: reads and edits sections of the document, drains
//! endpoints, and reports the state of the entry.

mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use imp::{Checker, Config, Console, spawn};
pub use message::{
    Count, Create, Drain, Put, Read, SectionText, Snapshot, Status, StatusReport, Tally, Verdict,
};

pub use crate::error::Result;
