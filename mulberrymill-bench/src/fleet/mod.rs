//! A complete deployment on loopback: stand-ins in this process, and a child process for each entry
//! and agent.
//!
//! Used by the demo, the measurements and the failure tests. Processes can be stopped, killed,
//! suspended and resumed; stand-ins accept faults.

mod document;
mod imp;
mod process;

pub use document::{CALLER_KEY, MODEL, OPERATOR_KEY, SERVICE, document};
pub use imp::{Config, Fleet, spawn};
pub use process::Process;

/// Result of starting or controlling a fleet. Errors say which part failed.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
