//! The command line.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input.

mod client;
mod config;
mod imp;
mod serve;
mod status;
#[cfg(test)]
mod tests;

pub use imp::{command, run};
