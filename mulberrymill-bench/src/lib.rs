//! Stand-ins, load generator and experiments for mulberrymill. Not shipped.
//!
//! Each module is a stand-in or a tool:
//!
//! - [`engine`], [`service`] and [`hosts`] serve HTTP on a free loopback port and accept faults by
//!   `POST /fault`, also on a second port that stays up while the first is down.
//! - [`store`] serves the JSON gateway of etcd, and [`platform`] stands in for the users' platform.
//! - [`port`] is the HTTP server of the stand-ins, which can be taken down and brought back.
//! - [`fleet`] runs a complete deployment with entries and agents as processes.
//! - [`load`] sends requests and checks the responses.
//! - [`capacity`] measures the control-plane cost of entries and agents.
//! - [`experiment`] compares admission and routing policies in simulated time.
//! - [`soak`] injects faults around gateway processes.
//! - [`cli`] runs these tools in the foreground.

pub mod capacity;
pub mod cli;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod hosts;
pub mod load;
pub mod platform;
pub mod port;
pub mod service;
pub mod soak;
pub mod store;
