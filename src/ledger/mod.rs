//! At-most-once execution of operations that must not be repeated.
//!
//! Before an agent starts such an operation, it creates a claim key in the store, which arbitrates
//! between agents. The claim names the incarnation of the agent and the attempt, and later holds
//! the outcome. A claim without an outcome is kept when its owner is gone, so that the operation is
//! never sent again.
//!
//! The [`Ledger`] actor holds the claims of one agent. Claims, outcomes and releases share one
//! write queue, from which at most one transaction per 5 ms is committed.

mod batch;
mod claim;
mod imp;
mod message;
mod presence;
mod task;
#[cfg(test)]
mod tests;

pub use imp::{Digest, Outcome, STORED_BODY_MAX_BYTES};
pub use message::{Claim, Claimed, Lookup, Record, Release, Stop};
pub use task::{Config, Ledger, spawn};

pub use crate::error::Result;
