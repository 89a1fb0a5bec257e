//! Limits retries and takes failing endpoints out of use for a while.
//!
//! Both parts are plain code on a time that the caller passes in. The router owns them.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Budget, Ejector, Window};
