//! Command line of the program: starts a process or sends operator requests to an entry.
//!
//! The exit code is 0 on success, 1 on failure, and 2 for wrong usage or invalid input.

mod client;
mod config;
mod imp;
mod serve;
mod status;
#[cfg(test)]
mod tests;

pub use imp::{command, run};
