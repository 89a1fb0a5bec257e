//! The platform's list of live and leaving hosts.
//!
//! The list lags behind the hosts, so it can only cause an endpoint to be drained. Otherwise the
//! report of the agent determines the state of the endpoint.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{HostEntry, HostListClient, HostSource, HostState};

pub use crate::error::Result;
