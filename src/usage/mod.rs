//! Usage reports: how many requests of each customer began to run in each window of time.
//!
//! Each gateway counts its own requests by window and customer and tells its peers the running counts
//! with its digests. Peers keep them by process and incarnation, also after a link has closed, so the
//! counts of a process that was killed are not lost. The holder of the platform's duties
//! ([`duty`](crate::duty)) merges the counts, fixes the content of each report in the store, and sends
//! what the store holds.
//!
//! [`Tally`] merges counts, [`TrueTime`] estimates the time, [`Spec`] knows when a report is due, and
//! [`Reporter`] is the actor that counts and reports.

mod actor;
mod entry;
mod history;
mod imp;
mod message;
mod peers;
#[cfg(test)]
mod tests;
mod time;

pub use actor::{Config, Reporter, spawn};
pub use history::History;
pub use imp::{Source, Spec, Tally};
pub use message::{Counts, PeerCounts, RequestBegun, TakeCounts};
pub use time::TrueTime;

pub use crate::error::Result;
