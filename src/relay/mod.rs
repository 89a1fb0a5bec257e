//! Takes one request through admission, routing and its attempts, and puts its answer together.
//!
//! An [`Exchange`] belongs to the task that serves the caller. Nothing is read from the agent faster
//! than the caller reads from the exchange, and dropping the exchange withdraws the attempt.

mod assembly;
mod exchange;
mod guard;
mod imp;
mod meter;
mod outcome;
#[cfg(test)]
pub(crate) mod tests;

pub use assembly::{Assembly, Step};
pub use exchange::Exchange;
pub use imp::{Part, Ports, Relay, Request, Summary, Target};

pub use crate::error::Result;
