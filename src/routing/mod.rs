//! Chooses the endpoint of each attempt.
//!
//! [`Table`] is the decision as plain code on a time that its caller passes in; [`Router`] is the
//! actor around it. A [`Policy`] picks one endpoint out of a [`View`].

mod actor;
mod imp;
mod message;
mod policy;
mod portion;
mod separate;
#[cfg(test)]
mod tests;
mod view;

pub use actor::{Config, Router, spawn};
pub use imp::Table;
pub use message::{
    Adopt, Choice, Choose, Cost, Demand, Ending, EndpointStatus, Finish, Linked, MayRetry, Observe,
    Pool, Prefix, Survey,
};
pub use policy::{Balanced, LeastInFlight, Policy, RoundRobin, Weights};
pub use separate::Separate;
pub use view::{Status, View};
