use std::{sync::Arc, time::Instant};

use actix::Message;

use super::Permit;
use crate::{
    config::Document,
    error::Result,
    id::{Caller, Class, Request},
    routing::{Cost, Pool},
};

/// Asks for admission. Answered with a [`Permit`] when the request may start, or with an error
/// whose `executed` is `no`: the caller is over its limit, or the latency target of the class
/// cannot be met.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Permit>")]
pub struct Offer {
    /// Id of the request; refused if it is already in use.
    pub request: Request,
    /// Caller, whose rate and number of requests in progress are limited.
    pub caller: Caller,
    /// Class, which sets the latency targets and the guaranteed share.
    pub class: Class,
    /// Endpoints that can serve the request.
    pub pool: Pool,
    /// Expected size, from which the time budget in the engine follows.
    pub cost: Cost,
    /// Latest time to start the request.
    pub deadline: Instant,
}

/// Reports that the request ended or was canceled. Sent when a [`Permit`] is dropped, and by
/// senders that stop waiting for the answer to an [`Offer`].
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReleaseSlot(pub Request);

/// Sets the number of requests that a pool can serve concurrently; sent by the router.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Capacity {
    /// Pool whose capacity changed.
    pub pool: Pool,
    /// Slots of all endpoints of the pool together.
    pub slots: u32,
}

/// Puts a new configuration document into effect.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetDocument(pub Arc<Document>);
