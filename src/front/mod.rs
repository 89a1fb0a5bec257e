//! The HTTP interface of an entry.
//!
//! Handlers turn HTTP requests into [`relay::Request`](crate::relay::Request)s and their answers
//! into HTTP; they decide nothing about admission, routing or retries. Errors become RFC 9457
//! problem documents by the table of [`error::Kind`](crate::error::Kind).

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
pub use openai::Body;
pub use operator::Ports as OperatorPorts;

pub use crate::error::Result;
