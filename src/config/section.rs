use std::{collections::BTreeMap, fmt, net::SocketAddr, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    id::{Caller, Class, Endpoint, Group, Host, Model, Operation, Revision, Service, Zone},
    unit::{Bytes, Rate, Share, Tokens, Worth, period},
    wire::Role,
};

/// A section of the document. Each has one store key and one owning team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Section {
    /// Models and versions.
    Models,
    /// Service classes.
    Classes,
    /// Policy of role changes, per group of engines.
    Roles,
    /// Callers, their keys and limits.
    Callers,
    /// Plain services and their operations.
    Services,
    /// Endpoints and where their agents listen.
    Endpoints,
    /// Limits of the HTTP interface and of waiting.
    Limits,
}

impl Section {
    /// All sections, in the order of the document.
    pub const ALL: [Self; 7] = [
        Self::Models,
        Self::Classes,
        Self::Roles,
        Self::Callers,
        Self::Services,
        Self::Endpoints,
        Self::Limits,
    ];

    /// The name in the document and in the store key.
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

/// A checked document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Revision of the document; 0 for one that was read from a file.
    pub revision: Revision,
    /// Models by name.
    pub models: BTreeMap<Model, ModelSpec>,
    /// Classes by name.
    pub classes: BTreeMap<Class, ClassSpec>,
    /// Policy of role changes by group.
    pub roles: BTreeMap<Group, RoleSpec>,
    /// Callers by name.
    pub callers: BTreeMap<Caller, CallerSpec>,
    /// Plain services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Endpoint, EndpointSpec>,
    /// Limits.
    pub limits: Limits,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that the engines should load.
    pub version: String,
    /// Most prompt and output tokens together.
    pub context: Tokens,
    /// Adapters that may be named as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A service class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Order of urgency: 1 is the most urgent. No two classes share a rank.
    pub rank: u8,
    /// Target for the first token.
    #[serde(with = "period")]
    pub first_token: Duration,
    /// Target for the time between tokens.
    #[serde(with = "period")]
    pub between_tokens: Duration,
    /// Target for the whole answer; also the limit of waiting.
    #[serde(with = "period")]
    pub whole: Duration,
    /// Worth of one answer inside its targets.
    pub worth: Worth,
    /// Guaranteed share of the capacity. All shares together are at most 100%.
    pub share: Share,
}

/// Policy of role changes for a group of engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSpec {
    /// Time that a role change takes an engine away.
    #[serde(with = "period")]
    pub change_cost: Duration,
    /// Time in which no change of an engine is undone.
    #[serde(with = "period")]
    pub pay_back: Duration,
    /// Largest part of the group that changes at the same time.
    pub at_once: Share,
}

/// A caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// SHA-256 of the bearer key, 64 hexadecimal digits.
    pub key_sha256: String,
    /// Classes that the caller may use. The first one is the default.
    pub classes: Vec<Class>,
    /// Most requests per second.
    pub rate: Rate,
    /// Most requests in progress.
    pub in_progress: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Operations by name.
    pub operations: BTreeMap<Operation, OperationSpec>,
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// Whether a repetition is harmless. If not, callers must send an idempotency key.
    pub repeatable: bool,
    /// The class of its calls.
    pub class: Class,
    /// Longest time that the service may take.
    #[serde(with = "period")]
    pub timeout: Duration,
}

/// What an endpoint is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Engine or service.
    pub kind: EndpointKind,
    /// Endpoints that are changed under one lease.
    pub group: Group,
    /// The machine.
    pub host: Host,
    /// Availability zone of the machine.
    pub zone: Zone,
    /// Where the agent listens.
    pub agent: SocketAddr,
    /// Whether the endpoint refuses an order with an old fencing number.
    pub fenced: bool,
    /// Models of an engine.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Role of an engine unless the system changes it.
    #[serde(default)]
    pub role: Role,
    /// Service that a service endpoint runs.
    #[serde(default)]
    pub service: Option<Service>,
    /// Attempts that the endpoint serves at the same time without loss of speed.
    pub slots: u32,
}

/// Limits of the HTTP interface and of waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request body.
    pub body: Bytes,
    /// Most tokens of one answer.
    pub max_output: Tokens,
    /// Longest time that a request may stay in the system.
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
