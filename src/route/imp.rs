use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    customer::{self, Customer},
    error::{Error, Kind as ErrorKind, Result},
    id,
    unit::{Bytes, Tokens},
};

/// Default limit of a request body.
const DEFAULT_BODY_LIMIT: Bytes = Bytes::new(4 << 20);
/// Default limit of a request head.
const DEFAULT_HEAD_LIMIT: Bytes = Bytes::new(16 << 10);

/// Default time for which a caller may keep a connection idle.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Version of a plan. Later versions are larger, but not necessarily consecutive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Creates the version with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_error| Error::new(ErrorKind::BadRequest, "invalid plan version"))
    }
}

/// Decides how often a request may run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is an event stream, and the request may run at most once.
    Stream,
    /// The answer is an event stream that another endpoint may resume after the last complete
    /// event.
    ResumableStream,
}

impl Kind {
    /// Returns whether a request may be sent again although an earlier attempt may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable-stream",
        })
    }
}

/// A service that receives a weighted share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: id::Service,
    /// Weight of the service; its share is this over the sum of all weights of the route.
    pub weight: u32,
}

impl Target {
    /// Creates the only target of a route, which receives all requests.
    #[must_use]
    pub const fn single(service: id::Service) -> Self {
        Self { service, weight: 1 }
    }
}

/// Settings of all requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: id::Route,
    /// Host of the requests. A lower-case name without a port also matches requests with a port or
    /// in another case.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once, and whether answers are streams.
    pub kind: Kind,
    /// Services that receive the requests; at least one.
    pub targets: Vec<Target>,
    /// Time from the arrival of a request to its deadline. A caller may ask for less.
    pub timeout: Duration,
    /// Target latency of an answer, or of the first event of a stream.
    pub latency_target: Duration,
    /// Priority rank, 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of endpoints that a request may be sent to.
    pub attempts: u32,
    /// Target for the longest gap between two events of a stream, if there is one.
    pub event_gap: Option<Duration>,
    /// Whether requests without the key of a customer are served, if the plan has customers.
    pub public: bool,
}

impl Route {
    /// Returns the priority rank of a request, 0 is the most urgent: that of its customer, if the customer
    /// has one.
    #[must_use]
    pub fn rank_for(&self, customer: Option<&Customer>) -> u8 {
        let rank = customer.and_then(|customer| customer.rank);
        rank.unwrap_or(self.rank)
    }

    /// Returns the service for one request, selected at random by weight. If all weights are 0,
    /// this is the first target; without targets, it is `None`.
    pub fn select_service(&self, rng: &mut impl Rng) -> Option<&id::Service> {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        let total: u64 = weights.sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut remaining = rng.random_range(0..total);
        let selected = self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let hit = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            hit
        });
        selected.map(|target| &target.service)
    }
}

/// Limits on the size of requests, and on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, 16 KiB by default.
    pub head: Bytes,
    /// Maximum size of a request body, 4 MiB by default.
    pub body: Bytes,
    /// Time for which a caller may keep a connection idle, two minutes by default.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: DEFAULT_HEAD_LIMIT,
            body: DEFAULT_BODY_LIMIT,
            idle: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Settings of all endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Tokens that fit into the memory of each engine; `None` if this is not limited.
    pub kv_tokens: Option<Tokens>,
}

/// The routes, services and request limits of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    version: Version,
    /// Routes by host, then by path prefix.
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: BTreeMap<id::Service, Service>,
    limits: Limits,
    customers: Option<Arc<customer::Directory>>,
}

impl Plan {
    /// Creates a plan. Of several routes with the same host and prefix, the last one is used.
    #[must_use]
    pub fn new(version: Version, routes: Vec<Route>, limits: Limits) -> Self {
        let mut plan = Self {
            version,
            limits,
            ..Self::default()
        };
        for route in routes {
            let prefixes = plan.routes.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        plan
    }

    /// Sets the services; none by default.
    #[must_use]
    pub fn with_services(mut self, services: BTreeMap<id::Service, Service>) -> Self {
        self.services = services;
        self
    }

    /// Services with settings.
    #[must_use]
    pub const fn services(&self) -> &BTreeMap<id::Service, Service> {
        &self.services
    }

    /// Adds the customers: requests need the key of one of them, except on public routes.
    #[must_use]
    pub fn with_customers(mut self, customers: customer::Directory) -> Self {
        self.customers = Some(Arc::new(customers));
        self
    }

    /// The customers; `None` if requests need no key.
    #[must_use]
    pub fn customers(&self) -> Option<&Arc<customer::Directory>> {
        self.customers.as_ref()
    }

    /// Version of the plan.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Limits on the size of requests, and on idle connections.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Returns whether the plan has no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the route of `host` with the longest prefix of `path`. Each prefix ends with a
    /// slash, so only the prefixes up to each slash of the path are looked up.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.host_routes(host)?;
        let bytes = path.bytes().enumerate().rev();
        bytes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(end, _)| routes.get(&path[..=end]))
    }

    /// Returns the routes of a host by path prefix. If `host` is unknown as given, its port and
    /// letter case are ignored.
    fn host_routes(&self, host: &str) -> Option<&HashMap<String, Arc<Route>>> {
        self.routes.get(host).or_else(|| {
            let name = host.split_once(':').map_or(host, |(name, _port)| name);
            self.routes.get(&name.to_ascii_lowercase())
        })
    }
}
