//! The entry process: starts the actors of an entry and connects them.

mod imp;
pub(crate) mod recorder;
mod sink;

pub use imp::{Entry, open};

pub use crate::error::Result;
