//! What endpoints say of themselves in their answers: that they are leaving, and when to come back.
//!
//! [`Notice`] is decoded from the head of an answer by the adapter of the protocol. [`Board`] keeps
//! what each run has said, a [`Closure`] what it amounts to, and its [`Standing`] is what follows for new
//! requests. Nothing here has a clock, input or output, so that both front ends decide alike.

mod board;
mod imp;
#[cfg(test)]
mod tests;

pub use board::Board;
pub use imp::{Closure, Notice, Pause, Standing};

pub use crate::error::Result;
