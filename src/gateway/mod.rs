//! The gateway process: forwards callers' requests directly to endpoints, on a platform that has
//! its own directory of endpoints and its own configuration.
//!
//! [`open`] starts the tasks of [`directory`](crate::directory), [`dispatch`](crate::dispatch) and
//! [`ingress`](crate::ingress) and connects them. An [`Adapter`] supplies the formats and the
//! protocol of the platform.

mod imp;
mod plan;
#[cfg(test)]
mod tests;

pub use imp::{Adapter, Gateway, open};
pub use plan::ActivePlan;

pub use crate::error::Result;
