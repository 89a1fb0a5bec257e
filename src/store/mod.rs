//! The platform's key-value store, behind the trait [`Store`].
//!
//! The trait follows the published interface of etcd v3: keys with revisions, transactions that
//! compare before they write, leases, and watches. Each method is one call against the rate limit
//! of the platform.

mod etcd;
mod gateway;
mod imp;
mod keyspace;
mod memory;
#[cfg(test)]
mod tests;

pub use etcd::Etcd;
pub use imp::{
    Change, Commit, Compare, Event, Events, Future, Item, Lease, Path, Range, Reader, Store, Txn,
    Write,
};
pub use memory::{Counts, Faults, Memory};

use imp::CALL_LIMIT;

pub use crate::error::Result;
