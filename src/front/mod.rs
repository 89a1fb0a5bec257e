//! The HTTP interface of an entry.
//!
//! Handlers convert HTTP requests into [`relay::Request`](crate::relay::Request)s and relay answers
//! into HTTP responses. Admission, routing and retries are decided elsewhere. Errors are returned
//! as RFC 9457 problem documents with the status that [`error::Kind`](crate::error::Kind) defines.

mod auth;
mod estimate;
pub(crate) mod health;
mod imp;
mod openai;
mod operator;
pub(crate) mod problem;
pub(crate) mod receive;
mod service;
mod stream;
#[cfg(test)]
mod tests;

pub use auth::{authenticate, hash_key};
pub use estimate::{prefix, tokens};
pub use imp::{Config, Server, bind};
pub use openai::CompletionBody;
pub use operator::Ports as OperatorPorts;

pub use crate::error::Result;
