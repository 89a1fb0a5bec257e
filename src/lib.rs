//! A serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.

pub mod cli;
pub mod clock;
pub mod config;
pub mod error;
pub mod gate;
pub mod id;
pub mod invariant;
pub mod ledger;
pub mod routing;
pub mod store;
pub mod unit;
pub mod wire;
