//! Decides which requests start, and when.
//!
//! [`Scheduler`] is the decision as plain code on a time that its caller passes in. [`Controller`] is
//! the actor around it, which answers each [`Offer`] once.

mod actor;
mod caller;
mod ceiling;
mod imp;
mod message;
mod policy;
#[cfg(test)]
mod tests;

pub use actor::{Config, Controller, Permit, QUEUEING, spawn};
pub use imp::{Decision, Scheduler};
pub use message::{Adopt, Capacity, Finish, Offer};
pub use policy::{Adaptive, Fifo, Lane, Policy, Shares, StrictPriority};
