use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::Result;
use crate::{
    directory::{self, Instance, Sequence, Started},
    error::{Error, Kind},
    id,
    route::{self, Limits, Plan, Route, Target, Version},
    store::Path,
    unit::Bytes,
};

/// Timeout of routes that do not configure one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Target latency of routes that do not configure one.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);

/// Decodes the operator's configuration and the entries of endpoints in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

/// Entry of an endpoint in the store. Unused fields are omitted.
#[derive(Deserialize)]
struct EndpointEntry {
    service: id::Service,
    address: SocketAddr,
    zone: id::Zone,
    slots: u32,
    state: State,
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
    routes: Vec<serde_json::Value>,
    #[serde(default)]
    limits: ConfigLimits,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigLimits {
    max_header_bytes: Option<u64>,
    max_body_bytes: Option<u64>,
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
        let id = path.as_str().rsplit('/').next().unwrap_or_default();
        let id = id
            .parse()
            .map_err(|error| decode_error("endpoint id", error))?;
        let entry: EndpointEntry =
            serde_json::from_slice(value).map_err(|error| decode_error("entry", error))?;
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
        let config: Config =
            serde_json::from_slice(value).map_err(|error| decode_error("configuration", error))?;
        let routes = config.routes.into_iter().filter_map(|value| {
            let route = serde_json::from_value::<ConfigRoute>(value)
                .map_err(|error| decode_error("route", error))
                .and_then(to_route);
            route
                .inspect_err(|error| {
                    log::error!(version = config.version, error:% = error; "skipping route");
                })
                .ok()
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
        };
        let routes = routes.collect();
        Ok(Plan::new(Version::new(config.version), routes, limits))
    }
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
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis),
        latency_target: route
            .target_latency_ms
            .map_or(DEFAULT_TARGET_LATENCY, duration_from_ms),
        rank: route.priority,
        attempts: route.max_attempts.max(1),
        event_gap: route.gap_aim_ms.map(duration_from_ms),
    })
}

fn duration_from_ms(number: f64) -> Duration {
    Duration::try_from_secs_f64(number / 1000.0).unwrap_or_default()
}

fn decode_error(what: &str, error: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::new(Kind::BadRequest, format!("unusable {what}: {error}")).with_source(error)
}
