//! WebSocket connections between entries and agents, and between gateways.
//!
//! Each connection has two tasks: the reader owns the read half and the receive time of the last
//! frame, the writer owns the write half and its queue. An entry has a [`Pool`], which keeps one
//! connection to each agent and tracks the attempts in progress on it. An agent accepts connections
//! on a [`Port`]. Either end closes a connection that receives nothing for [`SILENCE`].

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
pub use message::{Announce, Cancel, Credit, Event, Lookup, Send, SetDocument, Submit};
pub use pool::{Config, Pool, Stop, spawn};

pub use crate::error::Result;
