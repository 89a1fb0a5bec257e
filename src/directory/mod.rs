//! Local view of the endpoints and the plan, read from the platform's store.
//!
//! [`follow`] watches a prefix of the store and passes every change to a [`UpdateSink`].
//! [`Directory`] turns the changes below the endpoints' prefix into the list of endpoints to use.
//! An endpoint whose entry expired while the store was unavailable stays usable for a short time,
//! because live endpoints register again soon after the store has recovered. The same holds for entries
//! that are missing after the store was restored from an older copy; what that copy lists does not undo
//! what was seen before.

mod budget;
mod follow;
mod imp;
mod order;
#[cfg(test)]
mod tests;

pub use budget::Budget;
pub(crate) use budget::NOTICE_DEFAULT as DRAIN_NOTICE_DEFAULT;
pub use follow::{Availability, Update, UpdateSink, follow};
pub use imp::{Codec, Directory, Instance, Listing, Sequence, Stage, Started};
