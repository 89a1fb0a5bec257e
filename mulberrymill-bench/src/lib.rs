//! Stand-ins, load generator and experiments for mulberrymill. Not shipped.
//!
//! Each slice is a stand-in or a tool: [`engine`], [`service`] and [`hosts`] serve HTTP on a free
//! loopback port and take faults over `POST /fault`, also on a second port that stays up while they
//! are down; [`load`] sends requests and checks the answers; [`capacity`] measures
//! what control costs; [`experiment`] measures the policies without sockets; [`soak`] plays faults on
//! gateways that run as processes; [`cli`] runs them in the foreground.

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
