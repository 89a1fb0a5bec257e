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

/// A group of endpoints that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pool {
    /// Engines that have loaded a model.
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

/// Expected size of a request. Both parts are 0 for a call of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Estimated prompt tokens.
    pub input: Tokens,
    /// Upper bound of the output tokens.
    pub output: Tokens,
}

/// Hashes of the leading blocks of a prompt, each over all text up to the end of its block. The
/// number of equal leading hashes is the number of blocks that two prompts share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix(pub Vec<u64>);

/// The properties of a request that decide which endpoint serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Pool of endpoints that can serve it.
    pub pool: Pool,
    /// Traffic class of the request.
    pub class: Class,
    /// Expected size of the request.
    pub cost: Cost,
    /// Hashes of the leading prompt blocks; empty if there is no prompt.
    pub prefix: Prefix,
    /// Endpoints that have already failed this request. Non-empty only for a retry.
    pub excluded: Vec<Endpoint>,
}

/// Selects an endpoint and counts the request as in flight there until the choice is finished or
/// dropped. Fails with [`Kind::NoEndpoint`](crate::error::Kind::NoEndpoint) if no endpoint is
/// eligible.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Choice>")]
pub struct Choose(pub Demand);

/// A selected endpoint, where the request counts as in flight.
///
/// A choice that is dropped, for example because its requester has gone, ends as
/// [`Ending::Abandoned`].
#[derive(Debug)]
pub struct Choice {
    endpoint: Endpoint,
    cost: Cost,
    router: Option<Recipient<Finish>>,
}

impl Choice {
    /// Creates a choice that sends [`Finish`] to `router` when it ends.
    #[must_use]
    pub const fn new(endpoint: Endpoint, cost: Cost, router: Recipient<Finish>) -> Self {
        Self {
            endpoint,
            cost,
            router: Some(router),
        }
    }

    /// The selected endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Ends the request with the given outcome.
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

/// Outcome of an attempt, as far as it concerns the health of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The endpoint served the request.
    Served,
    /// The endpoint refused the request because it is draining, has restarted or is full. This does
    /// not count as a failure.
    Refused,
    /// The endpoint failed, or the connection to it was lost.
    Failed,
    /// The caller disconnected, which says nothing about the endpoint.
    Abandoned,
}

/// Ends a request that [`Choose`] placed. Sent by the [`Choice`].
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish {
    /// The selected endpoint.
    pub endpoint: Endpoint,
    /// The size given in [`Choose`], which is subtracted from the load of the endpoint.
    pub cost: Cost,
    /// Outcome of the attempt.
    pub ending: Ending,
}

/// Reports that the link to an agent came up or went down.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct LinkChanged {
    /// The endpoint of the agent.
    pub endpoint: Endpoint,
    /// Whether the link is up.
    pub up: bool,
}

/// Delivers a load report of an endpoint.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct LoadReport(pub Report);

/// Replaces the configuration document. Endpoints that remain keep their state.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetDocument(pub Arc<Document>);

/// Asks whether a failed request may be retried now. An allowed retry counts against the budget.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct MayRetry;

/// Asks for the status of all endpoints as the router sees them.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<EndpointStatus>")]
pub struct GetEndpointStatuses;

/// Status of an endpoint as one entry sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: Endpoint,
    /// Whether its agent can be reached.
    pub up: bool,
    /// Whether it has reported that it takes no new work.
    pub leaving: bool,
    /// Whether it has asked for a pause that is not over.
    #[serde(default)]
    pub paused: bool,
    /// Role of the engine, as last reported or else as configured.
    pub role: Role,
    /// Attempts of all entries in progress, as last reported; 0 while the endpoint is down.
    pub in_progress: u32,
    /// Revision in force at its agent, as last reported; the default revision while it is down.
    pub revision: Revision,
}
