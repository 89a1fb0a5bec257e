//! The gateway process: callers straight to endpoints, on a platform with a directory of endpoints
//! and a configuration of its own.
//!
//! It starts the tasks of [`directory`](crate::directory), [`dispatch`](crate::dispatch) and
//! [`ingress`](crate::ingress) and connects them. What the platform's wire looks like comes in
//! through [`Adapter`].

mod imp;
mod plan;
#[cfg(test)]
mod tests;

pub use imp::{Adapter, Gateway, open};
pub use plan::Keeper;

pub use crate::error::Result;
