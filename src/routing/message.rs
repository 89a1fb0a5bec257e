use std::{fmt, sync::Arc};

use actix::{Message, Recipient};
use serde::{Deserialize, Serialize};

use crate::{
    config::Document,
    error::Result,
    id::{Class, Endpoint, Model, Revision, Service},
    unit::Tokens,
    wire::{Report, Role},
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

/// Chooses an endpoint and counts the request as in progress there until the choice is finished or
/// dropped.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Choice>")]
pub struct Choose(pub Demand);

/// A chosen endpoint, on which the request counts as in progress.
///
/// A choice that is dropped, for example with an answer that nobody waits for any more, counts as
/// abandoned.
#[derive(Debug)]
pub struct Choice {
    endpoint: Endpoint,
    cost: Cost,
    router: Option<Recipient<Finish>>,
}

impl Choice {
    /// A choice that reports its end to `router`.
    #[must_use]
    pub const fn new(endpoint: Endpoint, cost: Cost, router: Recipient<Finish>) -> Self {
        Self {
            endpoint,
            cost,
            router: Some(router),
        }
    }

    /// The chosen endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Ends the choice.
    pub fn finish(mut self, ending: Ending) {
        self.report(ending);
    }

    fn report(&mut self, ending: Ending) {
        if let Some(router) = self.router.take() {
            router.do_send(Finish {
                endpoint: self.endpoint.clone(),
                cost: self.cost,
                ending,
            });
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.report(Ending::Abandoned);
    }
}

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

/// Asks for the endpoints as the router sees them.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<EndpointStatus>")]
pub struct Survey;

/// An endpoint as an entry sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: Endpoint,
    /// Whether its agent can be reached.
    pub up: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Role of an engine.
    pub role: Role,
    /// Attempts in progress, as last reported.
    pub in_progress: u32,
    /// Revision in force at its agent, as last reported.
    pub revision: Revision,
}
