//! Keeps the document in force and spreads it between processes.
//!
//! Every process has one [`Holder`]. Revisions travel on messages that entries and agents exchange
//! anyway; a process that is behind fetches the document from one that is ahead. No process goes
//! back to a lower revision.

mod follower;
mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use follower::follow;
pub use imp::{Holder, View, spawn};
pub use message::{Observe, Offer, Provide, Subscribe, Subscriber};
