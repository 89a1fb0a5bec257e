//! A serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.

pub mod admission;
pub mod agent;
pub mod authority;
pub mod cli;
pub mod clock;
pub mod config;
pub mod edit;
pub mod entry;
pub mod error;
pub mod front;
pub mod gate;
pub mod id;
pub mod invariant;
pub mod ledger;
pub mod link;
pub mod log;
pub mod membership;
pub mod operator;
pub mod reconcile;
pub mod relay;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod spread;
pub mod store;
pub mod unit;
pub mod wire;
pub mod work;

#[cfg(test)]
mod seeds;
