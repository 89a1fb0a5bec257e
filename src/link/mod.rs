//! WebSocket connections between entries and agents, and between gateways.
//!
//! Each connection is a pair of tasks: one owns the reading half and the time of the last message,
//! the other owns the writing half and its queue. An entry has a [`Pool`] that keeps one connection
//! to each agent and knows which attempts wait on it; an agent accepts connections on a
//! [`Port`]. Both ends close a connection on which nothing arrived for [`SILENCE`].

mod connection;
mod dialer;
mod hub;
mod imp;
mod listener;
mod message;
mod pool;
mod route;
#[cfg(test)]
mod tests;

pub use connection::SILENCE;
pub use dialer::{Dialer, dial};
pub use hub::{Acknowledged, Broadcast, Close, GoAway, Hub, Joined, Left};
pub use imp::{Identity, Item, Outbox, Peer, Session, Sink};
pub use listener::{Listener, Port};
pub use message::{Adopt, Announce, Cancel, Credit, Event, Lookup, Send, Submit};
pub use pool::{Config, Pool, Stop, spawn};

pub use crate::error::Result;
