//! Service stand-in that counts the executions of each operation by idempotency key.
//!
//! It does not deduplicate: every request executes its operation, so that a duplicate shows in
//! `GET /executions`.

mod http;
mod imp;
#[cfg(test)]
mod tests;

pub use http::{Handle, bind};
pub use imp::{Config, Fault, Outcome, ServiceState};
