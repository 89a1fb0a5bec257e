//! The entry process: starts its actors and HTTP server, connects them and shuts them down.

mod imp;
pub(crate) mod recorder;
mod sink;

pub use imp::{Entry, open};

pub use crate::error::Result;
