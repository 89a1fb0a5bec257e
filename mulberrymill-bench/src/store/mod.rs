//! Stand-in for the platform store: the JSON gateway of etcd v3 on a loopback port.
//!
//! It answers `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/grant`, `/v3/lease/keepalive`,
//! `/v3/lease/revoke` and `/v3/watch`, as far as mulberrymill uses them. `POST /fault` sets
//! [`Fault`]s and `GET /count` gives the calls so far.

mod codec;
mod imp;

pub use imp::{Config, Fault, Handle, bind};

/// Result of binding a port.
pub type Result<T> = std::io::Result<T>;
