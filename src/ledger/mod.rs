//! At-most-once execution of operations that must not be repeated.
//!
//! Before an agent starts such an operation, it creates a claim key in the store; the store
//! arbitrates between agents. The claim names the incarnation of the agent and the attempt, and
//! later carries the outcome. A claim without an outcome whose owner is gone stays, so that the
//! operation is never sent again.
//!
//! [`Ledger`] is the actor. Claims, outcomes and releases share one queue, which becomes at most
//! one transaction per 5 ms.

mod batch;
mod claim;
mod imp;
mod message;
mod presence;
mod task;
#[cfg(test)]
mod tests;

pub use imp::{BODY_MAX, Digest, Outcome};
pub use message::{Claim, Claimed, Lookup, Record, Release, Stop};
pub use task::{Config, Ledger, spawn};

pub use crate::error::Result;
