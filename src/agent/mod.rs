//! The agent process: starts its actors and the listener for entries, connects them and shuts
//! them down.

mod control;
mod imp;
mod orders;
mod sink;

pub use imp::{Agent, open};

pub use crate::error::Result;
