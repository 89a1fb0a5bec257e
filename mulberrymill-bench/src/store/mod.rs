//! Store stand-in that speaks the JSON gateway protocol of etcd v3 on a loopback port.
//!
//! It serves `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`, `/v3/lease/keepalive`,
//! `/v3/lease/revoke` and `/v3/watch`, limited to what mulberrymill uses. `POST /fault` sets
//! a [`Fault`] and `GET /count` returns the number of calls so far.

mod codec;
mod imp;

pub use imp::{Config, Fault, Handle, bind};

/// Result of binding a port. Fails with the error of the operating system.
pub type Result<T> = std::io::Result<T>;
