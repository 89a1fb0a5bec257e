//! Customers and their API keys.
//!
//! A [`Directory`] finds the customer that owns an API key. It stores hashes of the keys only, so that
//! neither a log line nor a memory dump of the process shows a key.
//!
//! ```
//! use mulberrymill::customer::{Customer, Directory, Key};
//!
//! let customer = Customer {
//!     name: "hule930".parse()?,
//!     rank: Some(1),
//! };
//! let directory = Directory::new([(customer, vec![Key::new("k-51f0")])]);
//! let owner = directory.find(&Key::new("k-51f0")).expect("a known key");
//! assert_eq!(owner.name.as_str(), "hule930");
//! assert!(directory.find(&Key::new("k-0000")).is_none());
//! # Ok::<(), mulberrymill::id::Error>(())
//! ```

mod freshness;
mod imp;
#[cfg(test)]
mod tests;

pub use freshness::Freshness;
pub use imp::{Customer, Directory, Key};

use crate::error::Result;
