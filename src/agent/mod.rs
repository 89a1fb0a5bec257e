//! The agent process: starts the actors of an agent and connects them.

mod control;
mod imp;
mod orders;
mod sink;

pub use imp::{Agent, open};

pub use crate::error::Result;
