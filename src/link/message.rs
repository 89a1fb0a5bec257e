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

/// Progress or outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part of the response.
    Chunk(Chunk),
    /// The response is complete.
    End(End),
    /// The agent reported a failure.
    Fail(Fail),
    /// The connection to the agent closed before the attempt ended.
    Disconnected,
}

/// Sends an attempt to the agent of an endpoint. Fails with `executed: no` if there is no
/// connection.
#[derive(Debug, Message)]
#[rtype(result = "Result<()>")]
pub struct Submit {
    /// Endpoint that runs the attempt.
    pub endpoint: Endpoint,
    /// The attempt. The pool sets its `incarnation` to that of the connected agent.
    pub submit: wire::Submit,
    /// Receives the events of the attempt. Its unread chunks are limited by the granted credit.
    pub events: mpsc::UnboundedSender<Event>,
}

/// Grants more flow-control credit to an attempt.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Credit {
    /// Endpoint that runs the attempt.
    pub endpoint: Endpoint,
    /// Attempt whose response may continue.
    pub attempt: Attempt,
    /// Response bytes that the agent may send in addition to the credit granted before.
    pub bytes: Bytes,
}

/// Stops tracking an attempt and cancels it at the agent. The agent still completes an at-most-once
/// operation, because its outcome has to be recorded.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Cancel {
    /// Endpoint that runs the attempt.
    pub endpoint: Endpoint,
    /// Attempt to cancel.
    pub attempt: Attempt,
}

/// Requests the recorded outcome of an idempotency key from an agent. Fails with
/// `Kind::EndpointLost` if the agent does not respond within 3 s.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Outcome>")]
pub struct Lookup {
    /// Endpoint whose agent is queried.
    pub endpoint: Endpoint,
    /// Request id, and the key to look up.
    pub lookup: wire::Lookup,
}

/// Sends a frame to the agent of an endpoint. Returns `false` if there is no connection.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct SendFrame {
    /// Endpoint of the agent.
    pub endpoint: Endpoint,
    /// Frame to send. Responses to it arrive at the [`ConnectionHandler`](super::ConnectionHandler)
    /// of the pool.
    pub frame: Frame,
}

/// Sends the revision in force to all agents: every second as the heartbeat, and immediately when
/// it changes.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct BroadcastRevision(pub Revision);

/// Applies a document that came into force: connects to its endpoints, and retires connections to
/// endpoints that were removed or whose agent has another address.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetDocument(pub Arc<Document>);
