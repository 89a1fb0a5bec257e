//! The HTTP server for callers: limits, readiness and graceful stop.
//!
//! What a request means on the wire is the [`Protocol`]'s business, what becomes of it that of
//! [`forward`](crate::forward).

mod imp;
mod serve;

pub use imp::{Config, Protocol, Server, bind};

pub use crate::error::Result;
