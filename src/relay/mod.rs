//! Takes one request through admission, routing and its attempts, and puts its answer together.
//!
//! A [`Flight`] belongs to the task that serves the caller. Nothing is read from the agent faster
//! than the caller reads from the flight, and dropping the flight withdraws the attempt.

mod assembly;
mod flight;
mod guard;
mod imp;
mod meter;
mod outcome;
#[cfg(test)]
pub(crate) mod tests;

pub use assembly::{Assembly, Step};
pub use flight::Flight;
pub use imp::{Part, Ports, Relay, Request, Summary, Target};

pub use crate::error::Result;
