//! Time sources. The clock is passed in as a trait object, so that tests control the time.
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

pub use imp::{Boot, Clock, Manual, Shared, System};
