//! Reconciles endpoints with the state that operators, the configuration document and the host list
//! ask for.
//!
//! [`plan`] compares the desired state with the reports of the agents; it does no I/O.
//! [`Reconciler`] is the actor that sends the resulting orders, for the groups over which its entry
//! holds authority.

mod actor;
mod desired;
mod imp;
#[cfg(test)]
mod tests;

pub use actor::{Config, OrderAnswered, Reconciler, ReportReceived, SetDocument, spawn};
pub use desired::{Desired, Intent};
pub use imp::{Inputs, plan};

pub use crate::error::Result;
