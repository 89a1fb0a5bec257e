//! The clock, passed in as a trait object so that decisions can be tested on any time.
//!
//! ```
//! use std::time::Duration;
//! use mulberrymill::clock::{Clock, Manual};
//!
//! let clock = Manual::new();
//! let start = clock.now();
//! clock.advance(Duration::from_secs(9));
//! assert_eq!(clock.now() - start, Duration::from_secs(9));
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Clock, Manual, Shared, System};
