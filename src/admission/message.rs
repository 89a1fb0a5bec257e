use std::{sync::Arc, time::Instant};

use actix::Message;

use super::Permit;
use crate::{
    config::Document,
    error::Result,
    id::{Caller, Class, Request},
    routing::{Cost, Pool},
};

/// Asks for admission. Answers when the request may go on, or with an error whose `executed` is
/// `no`: the caller is over its limit, or the target of the class cannot be met.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Permit>")]
pub struct Offer {
    /// The request.
    pub request: Request,
    /// Its caller.
    pub caller: Caller,
    /// Its class.
    pub class: Class,
    /// The endpoints that can serve it.
    pub pool: Pool,
    /// Its expected size.
    pub cost: Cost,
    /// Latest time to start it.
    pub deadline: Instant,
}

/// The request ended or its caller went away; sent when a [`Permit`] is dropped, and by callers
/// that stop waiting for the answer to an [`Offer`].
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish(pub Request);

/// Number of requests that a pool can serve at the same time, as the router sees it.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Capacity {
    /// The endpoints.
    pub pool: Pool,
    /// Their slots in all.
    pub slots: u32,
}

/// A new document is in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Adopt(pub Arc<Document>);
