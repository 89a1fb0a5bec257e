//! The closed set of error kinds and the response that each of them produces.
//!
//! Every error that is sent to another process has one of these kinds. A table maps the kind to its
//! HTTP status, problem type and title (RFC 9457), the default execution state and the time after
//! which a retry can succeed. The code that creates an error can override the last two.
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
