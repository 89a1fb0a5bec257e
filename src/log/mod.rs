//! Log lines as JSON on standard output.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Error, Result, open};
