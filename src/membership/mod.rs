//! The platform's list of live and leaving hosts.
//!
//! The list lags, so that it only ever adds a reason to drain an endpoint; what an agent reports
//! about itself decides.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Entry, Hosts, List, Standing};

pub use crate::error::Result;
