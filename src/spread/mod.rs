//! Holds the document in force and replicates it between processes.
//!
//! Every process has one [`DocumentHolder`]. Entries and agents include their revision in the
//! frames that they exchange anyway; a process with a lower revision fetches the document from its
//! peer. The revision of a process never decreases.

mod follower;
mod imp;
mod message;
#[cfg(test)]
mod tests;

pub use follower::follow;
pub use imp::{DocumentHolder, View, spawn};
pub use message::{OfferDocument, PeerRevision, SendDocument, Subscribe, Subscriber};
