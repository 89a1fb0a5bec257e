//! A graceful stop within the grace period of the process: which requests are still taken, and when
//! those in progress have to be answered.
//!
//! [`channel`] creates the [`Trigger`] that begins a stop, and the [`Watch`] with which tasks that
//! serve callers follow it. The decisions are those of a [`Schedule`], which is plain data.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Schedule, Trigger, Watch, channel};
