//! Settings files of the processes: JSON with comments, unknown fields refused.

mod gateway;
mod imp;
#[cfg(test)]
mod tests;

pub use gateway::Gateway;
pub use imp::{Agent, Entry};

/// Result of reading a settings file.
pub type Result<T> = std::result::Result<T, crate::config::Faults>;
