//! Stand-ins, load generator and experiments for mulberrymill. Not shipped.

pub mod engine;
pub mod port;
pub mod service;
