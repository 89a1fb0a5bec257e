//! Sizes and rates as newtypes, each with `Display` and `FromStr`, and the text form of durations.
//!
//! Text forms include the unit, so that a document with `"64KiB"` in place of a number of tokens is
//! rejected.
//!
//! ```
//! use mulberrymill::unit;
//!
//! assert_eq!("64KiB".parse::<unit::Bytes>()?.get(), 65_536);
//! assert_eq!("25%".parse::<unit::Share>()?.get(), 0.25);
//! assert!("64KiB".parse::<unit::Tokens>().is_err());
//! # Ok::<(), unit::Error>(())
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Bytes, Error, Rate, Share, Slowdown, Tokens, Worth, period};
pub(crate) use imp::{as_f64, round};

/// Result of parsing a quantity.
pub type Result<T> = std::result::Result<T, Error>;
