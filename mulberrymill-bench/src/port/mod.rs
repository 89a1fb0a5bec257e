//! A loopback HTTP server that can be taken down and brought back on the same port.
//!
//! One task owns the listening socket. Taking the server down closes the listener and all
//! connections, which looks to clients as if the process had been killed.

mod imp;

pub use imp::{Port, Routes};

/// Result of a socket operation. Fails with the error of the operating system.
pub type Result<T> = std::io::Result<T>;
