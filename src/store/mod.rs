//! The platform's key-value store, behind the trait [`Store`].
//!
//! The trait follows the published API of etcd v3: keys with revisions, compare-and-write
//! transactions, leases, and watches. Each method is one call that counts against the platform's
//! rate limit.

mod etcd;
mod gateway;
mod imp;
mod keyspace;
mod memory;
#[cfg(test)]
mod tests;

pub use etcd::Etcd;
pub use imp::{
    Change, Commit, Compare, Era, Event, Events, Future, Item, Lease, Path, Position, Range,
    Reader, Store, Txn, Write,
};
pub use memory::{Backup, Counts, Faults, Memory};

use imp::CALL_TIMEOUT;

pub use crate::error::Result;
