//! WebSocket connections between entries and agents, and between gateways.
//!
//! Each connection has two tasks: the reader owns the read half and the receive time of the last
//! frame, the writer owns the write half and its queue. An entry has a [`Pool`], which keeps one
//! connection to each agent and tracks the attempts in progress on it. An agent accepts connections
//! on a [`BoundListener`]. Either end closes a connection that receives nothing for
//! [`IDLE_TIMEOUT`].

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

pub use connection::IDLE_TIMEOUT;
pub use dialer::{Dialer, dial};
pub use hub::{
    Broadcast, CloseAll, ConnectionClosed, ConnectionOpened, ConnectionRegistry, GoAway,
    GoAwayAcknowledged,
};
pub use imp::{ConnectionHandler, Identity, Outbox, Peer, Session, WriterItem};
pub use listener::{BoundListener, Listener};
pub use message::{
    BroadcastRevision, Cancel, Credit, Event, Lookup, SendFrame, SetDocument, Submit,
};
pub use pool::{Config, Pool, Stop, spawn};

pub use crate::error::Result;
