//! Checks of what must always hold, compiled into every build.
//!
//! A breach is counted in the metric `invariant_breaches_total` and logged. Under test it panics,
//! so that a randomized run stops at the first breach.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Point, check, set_fatal};
