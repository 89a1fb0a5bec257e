//! The HTTP server for callers: limits, readiness and graceful shutdown.
//!
//! A [`Protocol`] decodes the requests; [`forward`](crate::forward) sends them to endpoints.

mod imp;
mod serve;

pub use imp::{Config, Protocol, Server, bind};

pub use crate::error::Result;
