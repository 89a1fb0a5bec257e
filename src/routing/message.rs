use std::{fmt, sync::Arc};

use actix::Message;

use crate::{
    config::Document,
    error::Result,
    id::{Class, Endpoint, Model, Service},
    unit::Tokens,
    wire::Report,
};

/// The endpoints that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pool {
    /// Engines with a model.
    Model(Model),
    /// Endpoints of a plain service.
    Service(Service),
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model {model}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}

/// Expected size of a request. Both are zero for a call of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens, estimated.
    pub input: Tokens,
    /// Output tokens, at most.
    pub output: Tokens,
}

/// Hashes of the prompt's leading blocks, each over all text up to the end of its block. Two
/// prompts share as many blocks as they have equal leading hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix(pub Vec<u64>);

/// What a request needs of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The endpoints that can serve it.
    pub pool: Pool,
    /// Its class.
    pub class: Class,
    /// Its expected size.
    pub cost: Cost,
    /// Its leading blocks.
    pub prefix: Prefix,
    /// Endpoints that already failed this request.
    pub avoid: Vec<Endpoint>,
}

/// Chooses an endpoint and counts the request as in progress there until [`Finish`].
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Endpoint>")]
pub struct Choose(pub Demand);

/// How an attempt ended, as far as the endpoint's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It served the request.
    Served,
    /// It refused the request without harm: leaving, restarted, or full.
    Refused,
    /// It failed or was lost.
    Failed,
    /// The caller went away, which says nothing about the endpoint.
    Abandoned,
}

/// Ends what [`Choose`] began.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish {
    /// The chosen endpoint.
    pub endpoint: Endpoint,
    /// The size given to [`Choose`].
    pub cost: Cost,
    /// How it ended.
    pub ending: Ending,
}

/// A link to an agent came up or went down.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Linked {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether its agent can be reached.
    pub up: bool,
}

/// A load report of an endpoint.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Observe(pub Report);

/// A new document is in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Adopt(pub Arc<Document>);

/// Asks whether a failed request may be retried now. A retry that is allowed counts against the
/// budget.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct MayRetry;
