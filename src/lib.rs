//! A serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.
//!
//! One binary has three long-running roles. An *entry* ([`entry`]) serves callers and operators over
//! HTTP; an *agent* ([`agent`]) on each endpoint host is the only process that sends its endpoint
//! work. What must last is in the platform's key-value store ([`store`]). A *gateway* ([`gateway`])
//! serves callers on a platform that has a directory of endpoints and a configuration of its own;
//! it sends requests straight to endpoints, and [`platform`] translates for it. `docs/design.md` is
//! the specification, `docs/platform.md` that of the gateway; `docs/OPERATIONS.md` is for those who run it.
//!
//! Slices that own state are actors. Their decisions are plain code on a clock that is passed in
//! ([`clock`]), without sockets or encodings.
//!
//! # The document
//!
//! Operators keep one configuration document in JSON with comments. [`config::parse`] checks the
//! whole of it and returns the typed form that all slices read. Names and sizes are newtypes
//! ([`id`], [`mod@unit`]).
//!
//! ```
//! use std::time::Duration;
//!
//! use mulberrymill::{config, id::Class, unit::Share};
//!
//! let text = include_str!("../examples/santiago.jsonc");
//! let document = config::parse("santiago.jsonc", text).expect("the example has no faults");
//!
//! let verdict: Class = "verdict".parse().expect("valid name");
//! let spec = &document.classes[&verdict];
//! assert_eq!(spec.rank, 1);
//! assert_eq!(spec.first_token, Duration::from_millis(300));
//! assert_eq!(spec.share, "40%".parse::<Share>().expect("valid share"));
//! ```
//!
//! A document with faults is refused with the place of each of them.
//!
//! ```
//! use mulberrymill::config;
//!
//! let text = include_str!("../examples/santiago.jsonc");
//! let text = text.replace("\"whole\": \"2min\"", "\"whole\": \"2\"");
//! let faults = config::parse("santiago.jsonc", &text).expect_err("not a duration");
//! let first = faults.iter().next().expect("at least one fault");
//! assert_eq!(first.place(), "santiago.jsonc:22:75");
//! ```
//!
//! # Errors
//!
//! Each error that leaves a process is one of a closed set of kinds ([`error`]). The kind gives the
//! HTTP status and the problem type, and says whether the operation was executed, unless the place
//! where the error arose knows better.
//!
//! ```
//! use std::time::Duration;
//!
//! use mulberrymill::error::{Error, Executed, Kind};
//!
//! let answer = Kind::Overloaded.answer();
//! assert_eq!((answer.slug, answer.status), ("overloaded", 503));
//! assert_eq!(answer.executed, Executed::No);
//! assert_eq!(answer.retry_after, Some(Duration::from_secs(1)));
//!
//! // Nothing was sent to the agent, so this operation certainly was not executed.
//! let error = Error::new(Kind::EndpointLost, "the agent cannot be reached");
//! assert_eq!(error.executed(), Executed::Unknown);
//! assert_eq!(error.with_executed(Executed::No).executed(), Executed::No);
//! ```

pub mod admission;
pub mod agent;
pub mod authority;
pub mod cli;
pub mod clock;
pub mod config;
pub mod directory;
pub mod dispatch;
pub mod edit;
pub mod entry;
pub mod error;
pub mod forward;
pub mod front;
pub mod gate;
pub mod gateway;
pub mod id;
pub mod ingress;
pub mod invariant;
pub mod ledger;
pub mod link;
pub mod log;
pub mod membership;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod reconcile;
pub mod relay;
pub mod retry;
pub mod route;
pub mod routing;
pub mod settings;
pub mod spread;
pub mod store;
pub mod subset;
pub mod unit;
pub mod upstream;
pub mod wire;
pub mod work;

#[cfg(test)]
mod testing;
mod text;
