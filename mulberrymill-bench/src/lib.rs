//! Stand-ins, load generator and experiments for mulberrymill. Not shipped.

pub mod cli;
pub mod engine;
pub mod hosts;
pub mod load;
pub mod port;
pub mod service;
