//! Randomized soak test of gateway processes: injects faults from outside and checks what callers
//! and endpoints observe.
//!
//! A seed determines a [`Plan`] of faults at random times, which may overlap. [`play`] starts the
//! stand-ins of the platform, the gateways as separate processes, a loopback [`Proxy`] between each
//! gateway and the store, and one in front of each endpoint. It sends requests over persistent
//! connections while the faults are active, and returns the violated rules.

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

/// Result of starting or running a soak test. Violated rules are not errors, but [`Breach`]es.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
