//! A whole deployment on loopback: embedded stand-ins, and each entry and agent as a process.
//!
//! For the demonstration, the measurements and the failure tests. Processes are addressed by name
//! and can be stopped, killed, frozen and thawed; stand-ins take faults.

mod document;
mod imp;
mod process;

pub use document::{CALLER_KEY, MODEL, OPERATOR_KEY, SERVICE, document};
pub use imp::{Config, Fleet, spawn};
pub use process::Process;

/// Result of setting up or driving a fleet.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
