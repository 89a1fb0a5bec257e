use std::sync::Arc;

use actix::Message;
use tokio::sync::mpsc;

use super::Result;
use crate::{
    config::Document,
    id::{Attempt, Endpoint, Revision},
    unit::Bytes,
    wire::{self, Chunk, End, Fail, Frame, Outcome},
};

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part of the answer.
    Chunk(Chunk),
    /// The end of the whole answer.
    End(End),
    /// The agent gave up.
    Fail(Fail),
    /// The connection to the agent was lost.
    Lost,
}

/// Sends an attempt to an endpoint's agent. Fails with `executed: no` if there is no connection.
#[derive(Debug, Message)]
#[rtype(result = "Result<()>")]
pub struct Submit {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The attempt. The pool fills in the incarnation of the agent.
    pub submit: wire::Submit,
    /// Receives the events of the attempt. At most the credit of chunks waits in it.
    pub events: mpsc::UnboundedSender<Event>,
}

/// Grants credit to an attempt.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Credit {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The attempt.
    pub attempt: Attempt,
    /// Bytes in addition.
    pub bytes: Bytes,
}

/// Forgets an attempt and withdraws it from the agent. The agent completes an operation that runs
/// at most once all the same, because its outcome has to be recorded.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Cancel {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The attempt.
    pub attempt: Attempt,
}

/// Asks an agent for the recorded outcome of a key.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Outcome>")]
pub struct Lookup {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The question.
    pub lookup: wire::Lookup,
}

/// Sends a frame to an endpoint's agent. `false` if there is no connection.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct Send {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The frame.
    pub frame: Frame,
}

/// Tells all peers the revision in force; sent every second as heartbeat and at once on a change.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Announce(pub Revision);

/// A new document is in force: connect to its endpoints.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Adopt(pub Arc<Document>);
