use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::Result;
use crate::{
    directory::{self, Instance},
    error::{Error, Kind},
    id,
    route::{self, Limits, Plan, Route, Target, Version},
    store::Path,
    unit::Bytes,
};

/// Longest time of a request on a route that names none.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Aim of a route that names none.
const AIM: Duration = Duration::from_secs(1);

/// Decodes what the operator and the endpoints write to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

/// Entry of an endpoint. Fields that this program does not use are left out.
#[derive(Deserialize)]
struct Entry {
    service: id::Service,
    address: SocketAddr,
    zone: id::Zone,
    slots: u32,
    state: State,
    #[serde(default)]
    stage: Option<String>,
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
    /// Time within which an answer earns its full credit, which is the project's aim.
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
    /// Longest pause between events, not a time between requests.
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
        let id = id.parse().map_err(|error| unusable("endpoint id", error))?;
        let entry: Entry =
            serde_json::from_slice(value).map_err(|error| unusable("entry", error))?;
        let stage = entry.stage.as_deref();
        // `colocated` engines do both stages, which is what an engine without a stage does.
        let stage = stage.filter(|stage| *stage != "colocated");
        Ok(Instance {
            id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            draining: entry.state == State::Draining,
            stage: stage.map(str::parse).transpose()?,
        })
    }

    fn plan(&self, value: &[u8]) -> Result<Plan> {
        let config: Config =
            serde_json::from_slice(value).map_err(|error| unusable("configuration", error))?;
        let routes = config.routes.into_iter().filter_map(|value| {
            let route = serde_json::from_value::<ConfigRoute>(value)
                .map_err(|error| unusable("route", error))
                .and_then(route);
            route
                .inspect_err(|error| {
                    log::error!(version = config.version, error:% = error; "route is skipped");
                })
                .ok()
        });
        let usual = Limits::default();
        let limits = Limits {
            head: config
                .limits
                .max_header_bytes
                .map_or(usual.head, Bytes::new),
            body: config.limits.max_body_bytes.map_or(usual.body, Bytes::new),
        };
        let routes = routes.collect();
        Ok(Plan::new(Version::new(config.version), routes, limits))
    }
}

fn route(route: ConfigRoute) -> Result<Route> {
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
    let targets: Vec<Target> = split.chain(route.service.map(Target::whole)).collect();
    Ok(Route {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        kind,
        targets,
        timeout: route.timeout_ms.map_or(TIMEOUT, Duration::from_millis),
        aim: route.target_latency_ms.map_or(AIM, milliseconds),
        rank: route.priority,
        attempts: route.max_attempts.max(1),
        event_gap: route.gap_aim_ms.map(milliseconds),
    })
}

fn milliseconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number / 1000.0).unwrap_or_default()
}

fn unusable(what: &str, error: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::new(Kind::BadRequest, format!("unusable {what}: {error}")).with_source(error)
}
