use std::time::Instant;

use actix::Message;

use crate::{
    id::{Caller, Incarnation, Process},
    wire::{Begun, UsageTime},
};

/// A request of a customer has begun to run. To be sent once per request.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct RequestBegun {
    /// The customer.
    pub customer: Caller,
    /// When it began, by the monotonic clock.
    pub at: Instant,
}

/// Returns the counts that have changed since the last call.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Counts")]
pub struct TakeCounts {
    /// Whether to return all retained counts too, for a new link.
    pub all: bool,
}

/// Running counts of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Counts that have changed.
    pub changes: Vec<Begun>,
    /// All retained counts, if they were asked for.
    pub all: Option<Vec<Begun>>,
    /// The time of the process.
    pub time: UsageTime,
}

/// Running counts received from a peer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerCounts {
    /// Name of the peer.
    pub process: Process,
    /// Run of the peer.
    pub incarnation: Incarnation,
    /// Counts that have changed.
    pub begun: Vec<Begun>,
    /// The time of the peer.
    pub time: UsageTime,
}
