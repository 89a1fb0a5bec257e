//! The agent process: starts the actors of an agent and connects them.

mod imp;
mod sink;

pub use imp::{Agent, open};

pub use crate::error::Result;
