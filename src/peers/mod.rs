//! What gateways tell each other: the work that each has in progress at each endpoint.
//!
//! Endpoints report their load only with an answer, so a process that sends one of many requests
//! knows little of the others. Each gateway registers in the store, finds the others there, and is
//! linked with up to [`REACH`] of them on either side of a ring. Ten times a second it sends them what has
//! changed. A link that breaks takes what was told over it along.
//!
//! [`Roster`] decides who is linked with whom; [`Mesh`] is the actor that owns the links.

mod mesh;
mod presence;
mod roster;
#[cfg(test)]
mod tests;

pub use mesh::{Config, Listed, Mesh, Terms, spawn};
pub use presence::Presence;
pub use roster::{REACH, Roster};

pub use crate::error::Result;
