//! Stand-ins of the users' platform: its store, and endpoints that answer as its engines do.
//!
//! The test plays the operator: it writes the configuration and the endpoints' entries with
//! [`Store::put`].

mod endpoint;
mod store;

pub use endpoint::{Endpoint, Seen, entry};
pub use store::Store;

pub use crate::port::Result;
