//! Selects the endpoint of each attempt.
//!
//! [`Table`] makes the decision, without I/O and with the time passed in by its caller; [`Router`]
//! is the actor that owns it. A [`Policy`] selects one endpoint of a [`View`].

mod actor;
mod imp;
mod isolation;
mod message;
mod policy;
mod slot_limit;
#[cfg(test)]
mod tests;
mod view;

pub use actor::{Config, Router, spawn};
pub use imp::Table;
pub use isolation::Isolation;
pub use message::{
    Choice, Choose, Cost, Demand, Ending, EndpointStatus, Finish, GetEndpointStatuses, LinkChanged,
    LoadReport, MayRetry, Pool, Prefix, SetDocument,
};
pub use policy::{LeastInFlight, Policy, PowerOfTwo, RoundRobin, Weights};
pub use view::{Status, View};
