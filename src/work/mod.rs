//! Runs attempts on the endpoint of an agent.
//!
//! The [`Worker`] knows the attempts in progress; each one is a task of its own that owns its
//! connection to the endpoint and its credit. The endpoint stands behind the trait [`Endpoint`].

mod attempt;
mod engine;
mod imp;
mod message;
mod once;
mod plain;
mod sse;
#[cfg(test)]
mod tests;
mod worker;

pub use engine::Engine;
pub use imp::{Answer, Endpoint, Job, Piece, State};
pub use message::{Begin, Connected, Credit, Disconnected, Drain, Idle, Status, Stop, Withdraw};
pub use once::Ports;
pub use plain::Plain;
pub use sse::Decoder;
pub use worker::{Config, Worker, spawn};

pub use crate::error::Result;
