//! Since when the store is known to have lost nothing.
//!
//! A store may be restored from an older copy of itself, in a new [era](crate::store::Era). What it had acknowledged
//! since the copy is gone, so a missing entry shows something only of the time since the current era is known.
//! [`Tracker`] is what a process and its peers know, [`Record`] what the store itself keeps for processes that have
//! just started.

mod record;
#[cfg(test)]
mod tests;
mod tracker;

pub use record::Record;
pub use tracker::Tracker;

pub use crate::error::Result;
