//! Links between gateways, over which each reports its work in progress at each endpoint.
//!
//! Endpoints report their load only with a response, so a gateway that sends one of many requests
//! knows little of the load that the others cause. Each gateway registers in the store, finds the
//! others there, and is linked with up to [`NEIGHBORS_PER_SIDE`] of them on either side of a ring.
//! Ten times a second it sends them what has changed. When a link ends, the work that was reported
//! over it no longer counts.
//!
//! [`PlanExchange`] decides what a gateway that does not reach the store learns of the plan from its peers.
//! [`Roster`] decides which gateways are linked; [`Mesh`] is the actor that owns the links.

mod mesh;
mod plan;
mod presence;
mod roster;
#[cfg(test)]
mod tests;

pub use mesh::{Config, GatewaysChanged, Mesh, Recipients, spawn};
pub use plan::{PlanExchange, SharedPlan, Step};
pub use presence::Presence;
pub use roster::{NEIGHBORS_PER_SIDE, Roster};

pub use crate::error::Result;
