//! Authority over groups of endpoints: leader election per group, by leases in the store.
//!
//! A [`Holder`] competes for the groups in its last [`SetGroups`] message. Each group has a key in
//! the store; the process that creates the key holds the group, and the revision of the creation is
//! the fencing number of all orders to the group. All keys of a process are attached to one lease,
//! so that a renewal is one call. A holder stops by its own clock, well before the lease expires in
//! the store and another process can create the key.

mod handler;
mod imp;
mod key;
mod message;
mod term;
#[cfg(test)]
mod tests;

pub use imp::{Config, Handle, Holder};
pub use key::{GroupHolder, holders};
pub use message::{Changed, GetHeldGroups, GetPermit, ReleaseAll, SetGroups, Subscribe};
pub use term::{Permit, Term, Timing};

pub use crate::error::Result;
