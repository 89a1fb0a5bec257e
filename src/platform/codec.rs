use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, de::IgnoredAny};

use super::{Result, list, names};
use crate::{
    customer::{self, Customer, Key},
    directory::{self, Instance, Sequence, Started},
    error::{Error, Kind},
    id,
    route::{self, Limits, Plan, Route, Target, Version},
    store::Path,
    unit::{Bytes, Tokens},
};

/// Timeout of routes that do not configure one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Target latency of routes that do not configure one.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);

/// Decodes the operator's configuration and the entries of endpoints in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

/// Upper bound of the durations of a route, so that sums and multiples of them do not overflow.
const DURATION_MAX: Duration = Duration::from_hours(24);
/// Most slots that an entry may state: each running request takes a connection, and a host has no
/// more of them.
const SLOTS_MAX: u32 = 1 << 16;
/// Longest part of a reason why something cannot be decoded, in characters; it may quote the value.
const REASON_MAX: usize = 200;

/// Entry of an endpoint in the store. An entry without a field that is unused here is not one of an
/// endpoint.
#[derive(Deserialize)]
struct EndpointEntry {
    service: id::Service,
    address: SocketAddr,
    zone: id::Zone,
    slots: u32,
    state: State,
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "coldLeftMs")]
    _cold_left: f64,
    #[serde(rename = "seq")]
    _sequence: u64,
    #[serde(default)]
    stage: Option<String>,
    /// Unix time of the start of this run, in milliseconds.
    #[serde(default, rename = "born")]
    started: Option<u64>,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

#[derive(Deserialize)]
struct Config {
    version: u64,
    #[serde(default)]
    limits: ConfigLimits,
    /// Each entry is decoded on its own.
    tenants: Option<IgnoredAny>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigLimits {
    max_header_bytes: Option<u64>,
    max_body_bytes: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigRoute {
    name: id::Route,
    host: String,
    prefix: String,
    route_kind: String,
    #[serde(default)]
    service: Option<id::Service>,
    #[serde(default)]
    split: Vec<Split>,
    timeout_ms: Option<u64>,
    /// Time within which a response earns full credit; the `latency_target` of the route.
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
    /// Target for the longest gap between two events of a stream; not a gap between requests.
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    public: bool,
}

/// A customer. It has no `Debug`, since it holds keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigTenant {
    name: id::Caller,
    api_keys: Vec<String>,
    priority: Option<u8>,
}

#[derive(Deserialize)]
struct ConfigService {
    #[serde(alias = "service")]
    name: id::Service,
    #[serde(default)]
    engine: Option<ConfigEngine>,
}

/// Settings of the engines of a service; the others are not used.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigEngine {
    kv_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Split {
    service: id::Service,
    weight: u32,
}

const fn one() -> u32 {
    1
}

impl directory::Codec for Codec {
    fn instance(&self, path: &Path, value: &[u8]) -> Result<Instance> {
        let id = path.as_str().strip_prefix(names::ENDPOINTS_PREFIX);
        let id = id
            .unwrap_or_default()
            .parse()
            .map_err(|error| decode_error("endpoint id", error))?;
        // Fields that are not used are checked too: their depth, numbers and characters.
        serde_json::from_slice::<serde_json::Value>(value)
            .map_err(|error| decode_error("entry", error))?;
        let entry: EndpointEntry =
            serde_json::from_slice(value).map_err(|error| decode_error("entry", error))?;
        check_reachable(entry.address)?;
        if !(1..=SLOTS_MAX).contains(&entry.slots) {
            let detail = format!("unusable entry: {} slots", entry.slots);
            return Err(Error::new(Kind::BadRequest, detail));
        }
        let stage = entry.stage.as_deref();
        // A `colocated` engine runs both stages, like an engine without a stage.
        let stage = stage.filter(|stage| *stage != "colocated");
        Ok(Instance {
            id,
            started: entry.started.map(Started::from_millis),
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            draining: entry.state == State::Draining,
            stage: stage.map(str::parse).transpose()?,
        })
    }

    fn sequence(&self, value: &[u8]) -> Option<Sequence> {
        #[derive(Deserialize)]
        struct Numbered {
            #[serde(rename = "seq")]
            sequence: u64,
        }

        let entry: Numbered = serde_json::from_slice(value).ok()?;
        Some(Sequence::new(entry.sequence))
    }

    fn plan(&self, value: &[u8]) -> Result<Plan> {
        let unusable = |error| decode_error("configuration", error);
        let config: Config = serde_json::from_slice(value).map_err(unusable)?;
        let text = String::from_utf8_lossy(value);
        let routes = list::elements(&text, "routes").map_err(unusable)?;
        let routes = routes.into_iter().filter_map(|text| {
            let route = serde_json::from_str::<ConfigRoute>(text)
                .map_err(|error| decode_error("route", error))
                .and_then(to_route);
            route
                .inspect_err(|error| {
                    log::error!(version = config.version, error:% = error;
                        "route cannot be read; its requests are refused");
                })
                .ok()
                .or_else(|| closed_route(text))
        });
        let defaults = Limits::default();
        let limits = Limits {
            head: config
                .limits
                .max_header_bytes
                .map_or(defaults.head, Bytes::new),
            body: config
                .limits
                .max_body_bytes
                .map_or(defaults.body, Bytes::new),
            idle: config
                .limits
                .idle_timeout_ms
                .map_or(defaults.idle, Duration::from_millis),
        };
        let routes = routes.collect();
        let plan = Plan::new(Version::new(config.version), routes, limits)
            .with_services(decode_services(&text, config.version));
        if config.tenants.is_none() {
            return Ok(plan);
        }
        let tenants = list::elements(&text, "tenants").map_err(unusable)?;
        Ok(plan.with_customers(to_customers(config.version, &tenants)))
    }
}

/// Decodes the services of a configuration. Those without settings of engines, and those that cannot be
/// read, are left out: their engines are not limited.
fn decode_services(text: &str, version: u64) -> BTreeMap<id::Service, route::Service> {
    // Configurations need not have the list.
    let services = list::elements(text, "services").unwrap_or_default();
    let services = services.into_iter().filter_map(|text| {
        let service: ConfigService = serde_json::from_str(text)
            .map_err(|error| decode_error("service", error))
            .inspect_err(|error| {
                log::error!(version = version, error:% = error;
                    "service cannot be read; the memory of its engines is not limited");
            })
            .ok()?;
        let kv_tokens = service.engine?.kv_tokens.map(Tokens::new);
        Some((service.name, route::Service { kv_tokens }))
    });
    services.collect()
}

/// Decodes the customers. The reason why an entry cannot be read is not logged, since it may quote a key.
fn to_customers(version: u64, tenants: &[&str]) -> customer::Directory {
    let customers = tenants.iter().enumerate().filter_map(|(index, text)| {
        let Ok(tenant) = serde_json::from_str::<ConfigTenant>(text) else {
            log::error!(version = version, index = index;
                "customer cannot be read; its keys are unknown");
            return None;
        };
        let customer = Customer {
            name: tenant.name,
            rank: tenant.priority,
        };
        let keys = tenant.api_keys.iter().map(|key| Key::new(key)).collect();
        Some((customer, keys))
    });
    customer::Directory::new(customers)
}

fn to_route(route: ConfigRoute) -> Result<Route> {
    let kind = match (route.route_kind.as_str(), route.resumable) {
        ("idempotent", _) => route::Kind::Idempotent,
        ("non_idempotent", _) => route::Kind::NonIdempotent,
        ("streaming", false) => route::Kind::Stream,
        ("streaming", true) => route::Kind::ResumableStream,
        _ => return Err(Error::new(Kind::BadRequest, "unknown kind of route")),
    };
    let split = route.split.into_iter().map(|split| Target {
        service: split.service,
        weight: split.weight,
    });
    let targets: Vec<Target> = split.chain(route.service.map(Target::single)).collect();
    Ok(Route {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        kind,
        targets,
        timeout: route
            .timeout_ms
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis)
            .min(DURATION_MAX),
        latency_target: route
            .target_latency_ms
            .map_or(DEFAULT_TARGET_LATENCY, duration_from_ms),
        rank: route.priority,
        attempts: route.max_attempts.max(1),
        event_gap: route.gap_aim_ms.map(duration_from_ms),
        public: route.public,
    })
}

/// A route without services in place of one that cannot be read. Without it, a route with a shorter
/// prefix would take the requests. `None` if the route names no place.
fn closed_route(text: &str) -> Option<Route> {
    #[derive(Deserialize)]
    struct Place {
        host: String,
        prefix: String,
    }

    let place: Place = serde_json::from_str(text).ok()?;
    Some(Route {
        name: "unreadable".parse().ok()?,
        host: place.host,
        prefix: place.prefix,
        kind: route::Kind::NonIdempotent,
        targets: Vec::new(),
        timeout: DEFAULT_TIMEOUT,
        latency_target: DEFAULT_TARGET_LATENCY,
        rank: 0,
        attempts: 1,
        event_gap: None,
        public: false,
    })
}

fn duration_from_ms(number: f64) -> Duration {
    let seconds = (number / 1000.0).clamp(0.0, DURATION_MAX.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Fails for an address at which no endpoint can listen.
fn check_reachable(address: SocketAddr) -> Result<()> {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        let detail = format!("unusable entry: nothing can listen at {address}");
        return Err(Error::new(Kind::BadRequest, detail));
    }
    Ok(())
}

fn decode_error(what: &str, error: impl std::error::Error + Send + Sync + 'static) -> Error {
    let reason: String = error.to_string().chars().take(REASON_MAX).collect();
    Error::new(Kind::BadRequest, format!("unusable {what}: {reason}")).with_source(error)
}
