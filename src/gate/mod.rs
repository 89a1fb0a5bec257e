//! Decides whether an order to the endpoint has effect.
//!
//! [`Gate`] holds the rules, as plain code. [`Task`] is the actor around it: it writes the plan
//! key, applies the change through [`Control`] and settles what an earlier run of the agent left.
//!
//! An order has effect only if its fencing number is not lower than any seen, if the store still
//! shows the lease of that number when the plan is written, and if no other order is in progress.

mod imp;
mod message;
mod plan;
mod run;
mod task;
#[cfg(test)]
mod tests;

pub use imp::{Admission, Control, Future, Gate, ORDER_LIMIT, State};
pub use message::{Apply, Stop};
pub use task::{Config, Task, spawn};

pub use crate::error::Result;
