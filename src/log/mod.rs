//! Log lines as JSON on standard output. A thread writes them; when its queue is full, lines are
//! dropped and counted, so that logging never holds up a request.

mod imp;
mod queue;
#[cfg(test)]
mod tests;

pub use imp::{Error, Result, open};
