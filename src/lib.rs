//! A serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.

pub mod admission;
pub mod authority;
pub mod cli;
pub mod clock;
pub mod config;
pub mod edit;
pub mod error;
pub mod id;
pub mod invariant;
pub mod link;
pub mod log;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod store;
pub mod unit;
pub mod wire;
pub mod work;
