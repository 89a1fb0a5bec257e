//! HTTP/1.1 connections to endpoints.
//!
//! Each connection is a task that owns its socket. A [`Pool`] hands it one request at a time and
//! gets the answer through channels. Dropping the answer closes the connection, which cancels the
//! request at the endpoint.
//!
//! `awc` is not used here for three reasons that matter to a proxy: it takes a chunked body that
//! ends early for a complete one, it does not tell whether a failed request can have been sent, and
//! it keeps a connection that holds bytes beyond the answer.

mod connection;
mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Body, Error, Kind, Pool, Response};

/// Result of a request.
pub type Result<T> = std::result::Result<T, Error>;
