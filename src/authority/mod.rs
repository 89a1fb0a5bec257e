//! Authority over groups of endpoints, held through leases of the store.
//!
//! A [`Holder`] competes for the groups that it is told. All its groups hang on one lease, so that
//! a renewal is one call. A group has a key in the store; the revision at which the key was created
//! is the fencing number of all orders to the group. A holder stops by its own clock, well before
//! the store can give the group to another.

mod handler;
mod imp;
mod key;
mod message;
mod term;
#[cfg(test)]
mod tests;

pub use imp::{Config, Handle, Holder};
pub use key::{Tenure, holders};
pub use message::{Ask, Changed, Groups, Held, Release, Subscribe};
pub use term::{Permit, Term};

pub use crate::error::Result;
