//! Engine stand-in: a simulated model engine without weights, and its HTTP server.
//!
//! [`Model`] simulates continuous batching on an injected clock, without sockets. The answer to a
//! prompt depends only on the model name and the prompt, so that any engine can resume any answer
//! at any byte and a client can verify an answer without a second request.
//!
//! Each token is 4 bytes, and an answer has exactly the requested number of tokens. A role change
//! pauses requests in progress and refuses new ones; loading a model does neither.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//! use mulberrymill::{clock::Manual, unit::{Bytes, Tokens}};
//! use mulberrymill_bench::engine::{Config, Generate, Job, Model, Output};
//!
//! let clock = Manual::new();
//! let config = Config { models: vec!["m".parse()?], ..Config::default() };
//! let mut model = Model::new(config, Arc::new(clock.clone()));
//! let work = Generate {
//!     model: "m".parse()?,
//!     prompt: "does it contain nuts?".to_owned(),
//!     output: Tokens::new(2),
//!     resume: Bytes::ZERO,
//!     priority: 0,
//! };
//! model.submit(Job::new(1), &work)?;
//! clock.advance(Duration::from_secs(1));
//! assert!(matches!(model.poll()[..], [Output::Text(..), Output::Text(..), Output::End(..)]));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod actor;
mod cache;
mod config;
mod control;
mod http;
mod model;
mod report;
mod sequence;
#[cfg(test)]
mod tests;
mod text;

pub use actor::Handle;
pub use config::Config;
pub use control::{Fault, Tally};
pub use http::bind;
pub use model::{Model, Output};
pub use report::{Event, Report};
pub use sequence::{Block, Generate, Job};
pub use text::{TOKEN_BYTES, Text, conversation, tokens};

/// Result whose error carries a [`Kind`](mulberrymill::error::Kind) and whether the request was
/// executed.
pub type Result<T> = mulberrymill::error::Result<T>;
