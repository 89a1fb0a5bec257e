use std::{collections::HashMap, fmt, str::FromStr, sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    error::{Error, Kind as ErrorKind, Result},
    id,
    unit::Bytes,
};

/// Longest request body unless the configuration says otherwise.
const BODY_MAX: Bytes = Bytes::new(4 << 20);
/// Longest request head unless the configuration says otherwise.
const HEAD_MAX: Bytes = Bytes::new(16 << 10);

/// Version of a plan. Versions grow in uneven steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version(u64);

impl Version {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
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

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another endpoint may continue after the last complete event.
    ResumableStream,
}

impl Kind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn streams(self) -> bool {
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

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its part, against the sum of all weights of the route.
    pub weight: u32,
}

impl Target {
    /// A service that gets all requests.
    #[must_use]
    pub const fn whole(service: id::Service) -> Self {
        Self { service, weight: 1 }
    }
}

/// Terms of a group of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: id::Route,
    /// Host of the requests.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Where the requests go, at least one service.
    pub targets: Vec<Target>,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub aim: Duration,
    /// Urgency, 0 first.
    pub rank: u8,
    /// Most endpoints that a request may be sent to.
    pub attempts: u32,
    /// Longest pause between two events of a stream that is on time.
    pub event_gap: Option<Duration>,
}

impl Route {
    /// The service for one request, drawn by weight.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<&id::Service> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = rng.random_range(0..total);
        let drawn = self.targets.iter().find(|target| {
            let hit = left < target.weight;
            left = left.saturating_sub(target.weight);
            hit
        });
        drawn.map(|target| &target.service)
    }
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request.
    pub head: Bytes,
    /// Longest body of a request.
    pub body: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: HEAD_MAX,
            body: BODY_MAX,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    version: Version,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    limits: Limits,
}

impl Plan {
    /// A plan. Of two routes with the same host and prefix, the later one holds.
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

    /// The version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Bounds on requests.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The route with the longest prefix of `path` at `host`. Each prefix ends with a slash, so
    /// only the prefixes up to each slash of the path are looked up.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.prefixes(host)?;
        let ends = path.bytes().enumerate().rev();
        ends.filter(|(_, byte)| *byte == b'/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    fn prefixes(&self, host: &str) -> Option<&HashMap<String, Arc<Route>>> {
        self.routes.get(host).or_else(|| {
            let name = host.split_once(':').map_or(host, |(name, _port)| name);
            self.routes.get(&name.to_ascii_lowercase())
        })
    }
}
