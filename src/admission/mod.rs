//! Admission control: decides which requests start, and when.
//!
//! [`Scheduler`] decides without I/O, on a time that its caller passes in. [`Controller`] is the
//! actor around it and answers each [`Offer`] once.

mod actor;
mod caller;
mod concurrency;
mod imp;
mod message;
mod policy;
#[cfg(test)]
mod tests;

pub use actor::{Config, Controller, DEFAULT_QUEUEING_FACTOR, Permit, spawn};
pub use imp::{Decision, Scheduler};
pub use message::{Capacity, Offer, ReleaseSlot, SetDocument};
pub use policy::{Adaptive, ClassLoad, Fifo, Policy, Shares, StrictPriority};
