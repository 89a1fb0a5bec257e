//! Plain service stand-in: operations whose executions are counted per idempotency key.
//!
//! It runs an operation each time it is asked to, also twice with the same key, so that a
//! duplicate shows in `GET /executions`.

mod http;
mod imp;
#[cfg(test)]
mod tests;

pub use http::{Handle, bind};
pub use imp::{Config, Fault, Model, Outcome};
