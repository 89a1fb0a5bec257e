use std::{sync::Arc, time::Duration};

use actix::Message;

use super::Ticket;
use crate::{
    directory::Instance,
    error::Result,
    id::{Endpoint, Service, Zone},
    unit::Tokens,
};

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Need {
    /// The whole request: an engine of any stage may start it.
    #[default]
    Start,
    /// Token generation after the prompt was read elsewhere.
    Decode,
    /// Token generation by an engine that also reads the prompt.
    Whole,
}

/// A request as the choice of an endpoint sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Service,
    /// What the request needs.
    pub need: Need,
    /// Prompt tokens, 0 for a plain service.
    pub prompt: Tokens,
    /// Prompt tokens in parts that other requests share.
    pub shared: Tokens,
    /// Hash of the shared parts; requests with the same one are best served by the same engine.
    pub affinity: Option<u64>,
    /// Endpoints not to use, because they have failed or rejected this request.
    pub avoid: Vec<Endpoint>,
    /// Zone to prefer over that of the process, because the KV cache lies there.
    pub near: Option<Zone>,
}

/// Chooses an endpoint and counts the request there.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Ticket>")]
pub struct Choose(pub Demand);

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub instance: Arc<Instance>,
    /// Requests of this process that it works on, this one included.
    pub own: u32,
    /// Requests of other processes, by its last report.
    pub others: u32,
    /// Age of that report.
    pub report_age: Option<Duration>,
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// The endpoint has begun to answer.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Progress {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Prompt tokens that are read now.
    pub prompt: Tokens,
    /// Its load.
    pub load: Option<Load>,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Served.
    Served,
    /// Rejected without being run.
    Rejected,
    /// Another instance has the address.
    Replaced,
    /// The endpoint failed or was lost.
    Failed,
    /// Given up by this side.
    Abandoned,
}

/// Ends what [`Choose`] began. Sent by the [`Ticket`].
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Prompt tokens that were counted and that no [`Progress`] has taken off.
    pub prompt: Tokens,
    /// How it ended.
    pub ending: Ending,
}

/// Asks whether a request may be sent to a further endpoint, and counts it if so.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct MayRepeat(pub Service);

/// Replaces the list of endpoints.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Members(pub Vec<Arc<Instance>>);
