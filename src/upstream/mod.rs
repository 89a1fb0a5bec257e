//! HTTP/1.1 client for endpoints.
//!
//! Each connection is a task that owns its socket. A [`Client`] sends it one request at a time and
//! receives the response through channels. Dropping the response closes the connection, which
//! cancels the request at the endpoint.
//!
//! `awc` is not used here for three reasons that matter to a proxy: it treats a chunked body that
//! ends early as complete, it does not tell whether a failed request can have been sent, and it
//! reuses a connection that holds bytes beyond the response.

mod connection;
mod framing;
mod imp;
#[cfg(test)]
mod tests;

pub use framing::Framing;
pub use imp::{Body, Client, Error, Gate, Kind, Response};

/// Result of a request to an endpoint.
pub type Result<T> = std::result::Result<T, Error>;
