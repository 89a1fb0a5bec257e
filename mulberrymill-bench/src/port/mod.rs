//! A loopback HTTP server that can be taken down and brought back on the same port.
//!
//! One task owns the listening socket. Taking the server down closes the listener and all its
//! connections, so that clients see what they see when a process is killed.

mod imp;

pub use imp::{Port, Routes};

/// Result of a socket operation.
pub type Result<T> = std::io::Result<T>;
