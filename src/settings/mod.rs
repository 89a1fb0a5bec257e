//! Settings files of entries, agents and gateways: JSON with comments and trailing commas.
//!
//! Unknown fields are rejected, and all faults of a file are reported together.

mod gateway;
mod imp;
#[cfg(test)]
mod tests;

pub use gateway::{Duties, Gateway};
pub use imp::{Agent, Entry};

/// Result of reading a settings file; the error lists all its faults.
pub type Result<T> = std::result::Result<T, crate::config::Faults>;
