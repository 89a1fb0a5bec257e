//! Log lines as JSON on standard output. A separate thread writes them. If its queue is full, lines
//! are dropped and counted, so that logging never blocks a request.

mod imp;
mod queue;
#[cfg(test)]
mod tests;

pub use imp::{Error, Result, open};
