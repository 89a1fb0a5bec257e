//! Fences the orders to an endpoint: decides which of them take effect.
//!
//! [`Gate`] contains the rules and does no I/O. [`GateActor`] is the actor around it: it writes the
//! plan key, applies the change through [`Control`] and settles an order that an earlier run of the
//! agent left unfinished.
//!
//! An order takes effect only if its fencing number is not lower than any seen before, if the
//! group key in the store still has that number as its revision of creation when the plan is
//! written, and if no other order is in progress.

mod imp;
mod message;
mod plan;
mod run;
mod task;
#[cfg(test)]
mod tests;

pub use imp::{Control, Decision, Future, Gate, ORDER_TIMEOUT, State};
pub use message::{Apply, Stop};
pub use task::{Config, GateActor, spawn};

pub use crate::error::Result;
