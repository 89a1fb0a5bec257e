//! Measures the control-plane cost of an entry and an agent, with linear fits per link, group and
//! document size.
//!
//! The measured process is a real entry or agent of a [`fleet`](crate::fleet); its peers are tasks
//! of this process that speak the real protocol over loopback sockets. Every link of a stand-in
//! runs through a relay that counts its bytes.

mod agent;
mod edit;
mod entry;
mod fit;
mod meter;
mod operator;
mod relay;
mod rig;
mod run;
mod sample;
mod sections;
#[cfg(test)]
mod tests;

pub use fit::Line;
pub use run::{Results, measure};

/// Result of a measurement. Fails if a process or a stand-in cannot be started or reached.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
