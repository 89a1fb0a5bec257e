//! Runs one client request: admission, endpoint selection, attempts with retries, and assembly of
//! the response from those attempts.
//!
//! The task that serves the caller owns the [`Exchange`]. Flow control is credit-based: the agent
//! may send a fixed window ahead of what the caller has read. Dropping the exchange cancels the
//! attempt in progress.

mod assembly;
mod exchange;
mod guard;
mod imp;
mod meter;
mod outcome;
#[cfg(test)]
pub(crate) mod tests;

pub use assembly::{Disposition, ResponseAssembler};
pub use exchange::Exchange;
pub use imp::{LatencyTargets, Ports, Relay, Request, ResponsePart, ResponseSummary};

pub use crate::error::Result;
