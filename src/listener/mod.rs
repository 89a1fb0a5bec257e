//! The listener for callers: their connections, and what happens when a caller leaves.
//!
//! [`bind`] runs an `actix-web` application on connections of its own, so that the request of a
//! caller that leaves is dropped at once, whatever the state of its response.

mod connection;
mod imp;

pub use imp::{Config, bind};

pub use crate::error::Result;
