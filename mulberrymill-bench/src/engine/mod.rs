//! Engine stand-in: a model engine without weights, and an HTTP server around it.
//!
//! [`Model`] batches continuously and needs no socket and no real time. The answer to a prompt is
//! fixed by the model name and the prompt, so that any engine can continue any answer at any byte
//! and a client can check an answer without asking twice.
//!
//! Decisions: each token is 4 bytes; an answer has exactly the requested number of tokens; a
//! role change stalls the work in progress and refuses new work; loading a model does not.
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

/// Result of an operation of an engine.
pub type Result<T> = mulberrymill::error::Result<T>;
