//! What a process believes about the endpoints and the plan, read from the platform's store.
//!
//! [`follow`] keeps one watch on a prefix of the store and hands every change to a [`Sink`].
//! [`Directory`] turns the changes below the endpoints' prefix into the list of endpoints to use.
//! An endpoint whose entry lapsed while the store was away stays usable for a short time, because
//! live endpoints register again soon after the store's return.

mod follow;
mod imp;
#[cfg(test)]
mod tests;

pub use follow::{Contact, Feed, Sink, follow};
pub use imp::{Codec, Directory, Instance, Stage};
