//! Stand-ins of the users' platform: its key-value store, and endpoints that respond as its engines
//! do.
//!
//! A test takes the part of the operator: it writes the configuration and the records of endpoints
//! with [`Store::put`].

mod endpoint;
mod store;

pub use endpoint::{Endpoint, Seen, entry};
pub use store::{Backup, Store};

pub use crate::port::Result;
