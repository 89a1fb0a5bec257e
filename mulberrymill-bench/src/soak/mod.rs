//! Randomized soak of gateways: real processes, faults from outside, and checks of what callers and
//! endpoints see.
//!
//! A seed gives a [`Plan`]: faults at random times that overlap. [`play`] starts the stand-ins of the
//! platform, gateways as separate processes and a loopback [`Proxy`] in front of the store and of each
//! endpoint, sends requests over kept connections while the faults come, and returns what broke a
//! rule.

mod backend;
mod check;
mod client;
mod imp;
mod plan;
mod proxy;
#[cfg(test)]
mod tests;

pub use check::Breach;
pub use imp::{Config, play};
pub use plan::{Fault, Plan, Step};
pub use proxy::{Mode, Proxy};

/// Result of setting up or driving a soak.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
