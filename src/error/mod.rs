//! The closed list of error kinds and the table from kind to answer.
//!
//! Every error that leaves a process is one of these kinds. The table gives its HTTP status, its
//! problem type (RFC 9457), its title, what it says about execution unless the place where it
//! arose knows better, and when a retry can help.
//!
//! ```
//! use mulberrymill::error::{Error, Executed, Kind};
//!
//! let error = Error::new(Kind::Overloaded, "the queue of class review is full");
//! assert_eq!(error.kind().answer().status, 503);
//! assert_eq!(error.executed(), Executed::No);
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Answer, Error, Executed, Kind};

/// Result with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
