//! Bounds what a process holds of the bytes that others send to it.
//!
//! A limit for each answer, event or frame does not bound their sum: hundreds of connections may be
//! answered at once, and each byte stays until the rest has come. A [`Pool`] counts the bytes that are held
//! for each sender by a [`Reservation`]. A sender may hold as much as is still free, so that one of them gets
//! half of the pool, two get a third each, and there is always room for the others. Where senders cannot be
//! distinguished, only the sum is bounded.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Pool, Reservation};

pub use crate::error::Result;
