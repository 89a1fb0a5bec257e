//! The listener for callers: their connections, and what happens when a caller leaves.
//!
//! [`bind`] runs an `actix-web` application on connections of its own, so that the request of a
//! caller that leaves is dropped at once, whatever the state of its response, and that idle connections
//! are closed by limits that may change.

mod connection;
mod idle;
mod imp;
mod monitor;
mod payload;
#[cfg(test)]
mod tests;
mod unread;

pub use imp::{Config, Limits, bind};

pub use crate::error::Result;
