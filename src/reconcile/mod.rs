//! Brings endpoints into the state that operators, the document and the host list ask for.
//!
//! [`plan`] compares the desired state with what agents report, as plain code. [`Reconciler`] is the
//! actor that sends the resulting orders for the groups over which its entry holds authority.

mod actor;
mod desired;
mod imp;
#[cfg(test)]
mod tests;

pub use actor::{Adopt, Config, Finished, Noticed, Reconciler, spawn};
pub use desired::{Desired, Intent};
pub use imp::{Known, plan};

pub use crate::error::Result;
