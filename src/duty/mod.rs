//! Calls to the platform's API that one process at a time may make.
//!
//! [`authority`](crate::authority) elects the process by a lease in the store. [`Duties`] is the
//! actor that makes the calls: it checks the term right before each call is sent, gives the call the
//! fencing token of the term, and drops it when the term ends. [`Schedule`] decides when a holder may
//! act, and [`Api`] is the border to the platform's formats.

mod actor;
mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use actor::{Config, Duties, spawn};
pub use imp::{Answer, Api, Call, Schedule, Token};
pub use message::{GetTerm, Perform, Release, Term};

pub use crate::error::Result;
