//! Serves operators: reads and edits sections, shows the state of the entry, drains endpoints.

mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use imp::{Checker, Config, Console, spawn};
pub use message::{
    Count, Create, Drain, Put, Read, SectionText, Snapshot, Status, StatusReport, Tally, Verdict,
};

pub use crate::error::Result;
