use std::{sync::Arc, time::Duration};

use actix::Message;

use super::Ticket;
use crate::{
    directory::Instance,
    error::Result,
    id::{Endpoint, Service, Zone},
    link::Session,
    unit::Tokens,
    wire::Digest,
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
    /// Urgency, 0 first. Engines admit more urgent requests first.
    pub rank: u8,
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
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub instance: Arc<Instance>,
    /// Urgency of the request.
    pub rank: u8,
    /// Prompt tokens that the endpoint has to read for the request.
    pub unread: Tokens,
    /// Requests of this process that it works on, this one included.
    pub own: u32,
    /// Requests of other processes, as they tell, or by its last report.
    pub others: f64,
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
    /// Urgency of the request.
    pub rank: u8,
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
    /// The endpoint answered with an error, or not in time.
    Failed,
    /// The endpoint could not be reached, or broke the connection.
    Lost,
    /// Given up by this side.
    Abandoned,
}

/// Ends what [`Choose`] began. Sent by the [`Ticket`].
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Urgency of the request.
    pub rank: u8,
    /// Prompt tokens that were counted and that no [`Progress`] has taken off.
    pub prompt: Tokens,
    /// How it ended.
    pub ending: Ending,
}

/// Asks whether a request may be sent to a further endpoint, and counts it if so.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct MayRepeat(pub Service);

/// Asks for the work in progress at each endpoint that has any, and for failures since the last
/// survey.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Digest")]
pub struct Survey;

/// What another process tells.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerDigest {
    /// The link over which it was told.
    pub session: Session,
    /// What it knows. Work at endpoints that are not listed is as before.
    pub digest: Digest,
}

/// The link to another process has ended; its work is not known any more.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerLost(pub Session);

/// How many of the other processes tell of their work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct Audience {
    /// Processes that do.
    pub linked: usize,
    /// All other processes.
    pub known: usize,
}

/// Replaces the list of endpoints.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Members(pub Vec<Arc<Instance>>);
