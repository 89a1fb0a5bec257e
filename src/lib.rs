//! A serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.
//!
//! One binary has three long-running roles. An *entry* ([`entry`]) serves callers and operators
//! over HTTP. An *agent* ([`agent`]) runs on each endpoint host and is the only process that sends
//! work to its endpoint. Persistent state is in the platform's key-value store ([`store`]). A
//! *gateway* ([`gateway`]) serves callers on a platform with an endpoint directory and a
//! configuration of its own. It sends requests directly to endpoints; [`platform`] implements the
//! platform's formats. The design is specified in `docs/design.md`, that of the gateway in
//! `docs/platform.md`; `docs/OPERATIONS.md` is the operator manual.
//!
//! Modules that own state are actors. Their decisions are plain functions without sockets and
//! encodings; the clock is passed in ([`clock`]).
//!
//! # The document
//!
//! The configuration is one document in JSON with comments, maintained by operators.
//! [`config::parse`] validates it and returns the typed form that all modules use. Names and sizes
//! are newtypes ([`id`], [`mod@unit`]).
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
//! An invalid document is rejected with the position of every fault.
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
//! Each error that is sent to another process has one of a closed set of kinds ([`error`]). The
//! kind determines the HTTP status and the problem type. It also determines whether the operation
//! is reported as executed, unless the code that creates the error overrides it.
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
//! // Nothing was sent to the agent, so the operation was not executed.
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
pub mod customer;
pub mod directory;
pub mod dispatch;
pub mod duty;
pub mod edit;
pub mod entry;
pub mod era;
pub mod error;
pub mod forecast;
pub mod forward;
pub mod front;
pub mod gate;
pub mod gateway;
pub mod id;
pub mod ingress;
pub mod invariant;
pub mod ledger;
pub mod link;
pub mod listener;
pub mod log;
pub mod membership;
pub mod memory;
pub mod notice;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod quarantine;
pub mod reconcile;
pub mod relay;
pub mod retry;
pub mod route;
pub mod routing;
pub mod settings;
pub mod shutdown;
pub mod spread;
pub mod store;
pub mod subset;
pub mod triage;
pub mod unit;
pub mod upstream;
pub mod usage;
pub mod wire;
pub mod work;

#[cfg(test)]
mod testing;
mod text;
