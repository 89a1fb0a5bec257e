//! Runtime checks of the system's invariants, compiled into every build.
//!
//! A violation is counted in the metric `invariant_breaches_total` and logged. In tests it panics,
//! so that a randomized run stops at the first violation.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Invariant, check, set_fatal};
