use std::{collections::BTreeMap, fmt, net::SocketAddr, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    id::{Caller, Class, Endpoint, Group, Host, Model, Operation, Revision, Service, Zone},
    unit::{Bytes, Rate, Share, Tokens, Worth, period},
    wire::Role,
};

/// A section of the document, stored under its own key and owned by one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Section {
    /// Models, their versions and context lengths.
    Models,
    /// Service classes with their latency targets and capacity shares.
    Classes,
    /// Role change policy of each group of engines.
    Roles,
    /// Callers with their key hashes and request limits.
    Callers,
    /// Services other than model engines, with their operations.
    Services,
    /// Endpoints with the addresses of their agents.
    Endpoints,
    /// Limits on the size and duration of requests.
    Limits,
}

impl Section {
    /// All sections, in the order in which they are validated.
    pub const ALL: [Self; 7] = [
        Self::Models,
        Self::Classes,
        Self::Roles,
        Self::Callers,
        Self::Services,
        Self::Endpoints,
        Self::Limits,
    ];

    /// Returns the member name in the document, which is also the last part of the store key.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Classes => "classes",
            Self::Roles => "roles",
            Self::Callers => "callers",
            Self::Services => "services",
            Self::Endpoints => "endpoints",
            Self::Limits => "limits",
        }
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Section {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL
            .into_iter()
            .find(|section| section.as_str() == text);
        found.ok_or_else(|| Error::new(Kind::NotFound, "there is no such section"))
    }
}

/// A validated configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Store revision of the document; 0 if it was read from a file.
    pub revision: Revision,
    /// Models that engines can serve, by name.
    pub models: BTreeMap<Model, ModelSpec>,
    /// Service classes by name; at least one.
    pub classes: BTreeMap<Class, ClassSpec>,
    /// Role change policies by group of endpoints.
    pub roles: BTreeMap<Group, RoleSpec>,
    /// Callers that may send requests, by name.
    pub callers: BTreeMap<Caller, CallerSpec>,
    /// Services other than model engines, by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// Engines and service endpoints, by name.
    pub endpoints: BTreeMap<Endpoint, EndpointSpec>,
    /// Limits that apply to every request.
    pub limits: Limits,
}

/// Specification of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that engines load, as they name it.
    pub version: String,
    /// Maximum of prompt and output tokens together, at least 1.
    pub context: Tokens,
    /// Adapters that requests may select as `model:adapter`; none by default.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Specification of a service class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Priority from 1, the most urgent, to 255; unique among the classes.
    pub rank: u8,
    /// Target time until the first token, above 0 and at most `whole`.
    #[serde(with = "period")]
    pub first_token: Duration,
    /// Target time between two tokens, above 0.
    #[serde(with = "period")]
    pub between_tokens: Duration,
    /// Target time until the response is complete, above 0. A request waits in the queue no longer
    /// than this.
    #[serde(with = "period")]
    pub whole: Duration,
    /// Value of one response that meets its targets, relative to the other classes.
    pub worth: Worth,
    /// Guaranteed share of the capacity. The shares of all classes add up to at most 100%.
    pub share: Share,
}

/// Role change policy of a group of engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSpec {
    /// Time for which an engine is unavailable during a role change.
    #[serde(with = "period")]
    pub change_cost: Duration,
    /// Minimum time before a role change of an engine is reversed.
    #[serde(with = "period")]
    pub pay_back: Duration,
    /// Maximum share of the group that changes its role at the same time, above 0%.
    pub at_once: Share,
}

/// Specification of a caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// SHA-256 hash of the bearer key, 64 lower-case hexadecimal digits; unique among the callers.
    pub key_sha256: String,
    /// Classes that the caller may use, at least one; the first is the default.
    pub classes: Vec<Class>,
    /// Maximum request rate, above 0.
    pub rate: Rate,
    /// Maximum number of concurrent requests, at least 1.
    pub in_progress: u32,
}

/// Specification of a service other than a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Operations that callers may invoke, by name; at least one.
    pub operations: BTreeMap<Operation, OperationSpec>,
}

/// Specification of an operation of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// Whether the operation is idempotent. If not, callers must send an idempotency key.
    pub repeatable: bool,
    /// Service class of all calls of the operation.
    pub class: Class,
    /// Maximum time that the service may take to respond, above 0.
    #[serde(with = "period")]
    pub timeout: Duration,
}

/// Kind of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// An instance of a service other than a model engine.
    Service,
}

/// Specification of an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Whether the endpoint is an engine or a service.
    pub kind: EndpointKind,
    /// Group whose lease covers changes of the endpoint.
    pub group: Group,
    /// Host on which the endpoint runs.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Address on which the agent of the endpoint listens; unique among the endpoints.
    pub agent: SocketAddr,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    pub fenced: bool,
    /// Models that an engine serves, at least one; empty for a service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Initial role of an engine; `mixed` by default.
    #[serde(default)]
    pub role: Role,
    /// Service that the endpoint runs; `None` for an engine.
    #[serde(default)]
    pub service: Option<Service>,
    /// Number of concurrent attempts up to which the endpoint keeps its full speed, at least 1.
    pub slots: u32,
}

/// Limits on the size and duration of requests.
///
/// A document must set all of them. [`Limits::default`] applies until one is loaded: 1 MiB, 4096
/// tokens and 10 minutes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, above 0 and at most 1 MiB.
    pub body: Bytes,
    /// Maximum number of output tokens of one response, at least 1.
    pub max_output: Tokens,
    /// Maximum time from the arrival of a request to its end, above 0.
    #[serde(with = "period")]
    pub longest: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Bytes::new(1 << 20),
            max_output: Tokens::new(4096),
            longest: Duration::from_mins(10),
        }
    }
}
