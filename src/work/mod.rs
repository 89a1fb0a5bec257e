//! Runs attempts on the endpoint of an agent.
//!
//! The [`Worker`] actor tracks the attempts in progress. Each attempt runs in a separate task that
//! owns its connection to the endpoint and its credit window. The [`EndpointClient`] trait
//! abstracts over model engines and plain services.

mod attempt;
mod engine;
mod http;
mod imp;
mod message;
mod once;
mod plain;
mod sse;
#[cfg(test)]
mod tests;
mod worker;

pub use engine::EngineClient;
pub use imp::{EndpointClient, EndpointState, Job, ResponsePart, ResponseStream};
pub use message::{
    CancelAttempt, Connected, Credit, Disconnected, Drain, GetReport, StartAttempt, Stop,
    WaitUntilIdle,
};
pub use once::Ports;
pub use plain::ServiceClient;
pub use sse::Decoder;
pub use worker::{Config, Worker, spawn};

pub use crate::error::Result;
