use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use super::{
    Demand, Need,
    lateness::Lateness,
    member::Member,
    peer_load::{PeerLoad, PeerLoads},
};
use crate::{
    directory::Stage,
    forecast::Model,
    id::{Endpoint, Zone},
    unit::{Tokens, as_f64, round},
};

/// Prompt tokens waiting for prefill that are assumed for each request of a process that does not
/// report its usage: about the mean of the tokens that requests leave to prefill.
const PEER_PROMPT_TOKENS: f64 = 600.0;
/// Fraction of the less urgent backlog that a request waits for: an engine finishes the prefills
/// that it has started.
const LESS_URGENT_FRACTION: f64 = 0.5;
/// Cost of a request besides its prefill: it slows down the decode steps of the engine.
const REQUEST_OVERHEAD: Duration = Duration::from_micros(1_500);
/// Cost of a second copy of a shared token, as a multiple of the time of its prefill: the copy evicts
/// a cached prefix of other requests, which may have to be prefilled again later.
const CACHE_EVICTION_FACTOR: f64 = 12.0;
/// Time to start the transfer of a cached prefix between engines.
const KV_FETCH_SETUP: Duration = Duration::from_millis(10);
/// Tokens of a cached prefix that are transferred per second.
const KV_FETCH_RATE: f64 = 1_000_000.0;
/// Slowdown of a prefill at decode engines, compared with prefill engines, above which they keep no
/// prefixes.
const HOME_SLOWDOWN_MAX: f64 = 6.0;
/// Cost of transferring a KV cache between engines: it takes a second request.
const KV_TRANSFER: Duration = Duration::from_millis(6);
/// Cost of an engine in another zone: requests and KV caches travel further.
const REMOTE_ZONE: Duration = Duration::from_millis(4);
/// Cost of an endpoint of a plain service in another zone, in requests.
const REMOTE_ZONE_REQUESTS: f64 = 0.5;

/// Cost of the requests in the slots of an endpoint of a plain service that reports its slowdown, as a
/// fraction of the time of a request if all slots are in use. It spreads requests over endpoints without
/// queues; a queue costs more.
const SLOTS_IN_USE_COST: f64 = 0.5;

/// Load of peer processes at an endpoint: what the peers report, else an estimate from the last
/// load report of the endpoint.
pub(super) fn peer_load(loads: &PeerLoads, member: &Member, rank: u8, now: Instant) -> PeerLoad {
    loads.get(&member.instance.id, rank).unwrap_or_else(|| {
        let requests = member.peer_requests(now);
        // The running requests of a decode engine are past their prefill.
        let in_prefill = match member.instance.stage {
            Some(Stage::Decode) => member.queued_requests(now),
            _ => requests,
        };
        PeerLoad {
            requests: f64::from(requests),
            urgent_tokens: f64::from(in_prefill) * PEER_PROMPT_TOKENS,
            less_urgent_tokens: 0.0,
        }
    })
}

/// Prompt tokens that an endpoint has to prefill for a request. An endpoint with affinity is
/// assumed to have the shared tokens cached.
pub(super) fn prefill_tokens(demand: &Demand, has_affinity: bool) -> Tokens {
    match demand.need {
        Need::Decode => Tokens::ZERO,
        Need::Start | Need::PrefillAndDecode if has_affinity => Tokens::new(
            demand
                .prompt
                .get()
                .saturating_sub(demand.shared_prefix.get()),
        ),
        Need::Start | Need::PrefillAndDecode => demand.prompt,
    }
}

/// The engine that keeps a shared prefix. Uses rendezvous hashing with weights: when an engine is
/// added or removed, or when weights change, only the prefixes that this concerns move.
pub(super) fn home<'a>(
    members: impl Iterator<Item = (&'a Endpoint, f64)>,
    affinity: u64,
) -> Option<&'a Endpoint> {
    let score = |endpoint: &Endpoint, weight: f64| {
        let mut hasher = DefaultHasher::new();
        (affinity, endpoint).hash(&mut hasher);
        // The upper 53 bits, as a number between 0 and 1 that is neither.
        let uniform = (as_f64(hasher.finish() >> 11) + 0.5) / as_f64(1 << 53);
        -weight / uniform.ln()
    };
    members
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(endpoint, weight)| (score(endpoint, weight), endpoint))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, endpoint)| endpoint)
}

/// What a request would meet at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    /// Cost of the request at this endpoint, for its caller and for the other requests there, in
    /// seconds. For a plain service it is the number of requests per slot, or the time until the answer
    /// as a multiple of the usual service time if its endpoints report their slowdown.
    pub(super) cost: f64,
    /// Prompt tokens of the request to prefill.
    pub(super) prefill: Tokens,
    /// Prompt tokens to prefill until the endpoint answers, including those of the request.
    pub(super) tokens_ahead: Tokens,
    /// Whether the shared prefix is transferred from the engine that keeps it.
    pub(super) fetches: bool,
    /// Expected time until the endpoint answers; zero for a plain service whose endpoints report no
    /// slowdown.
    pub(super) forecast: Duration,
    /// The forecast without what is learned of the errors of forecasts.
    pub(super) bare_forecast: Duration,
    /// Whether the prefills there delay streams that run beside them.
    pub(super) delays_streams: bool,
    /// Part of the forecast in which the endpoint prefills for other requests.
    pub(super) queueing: Duration,
    /// Requests for each slot of an endpoint of a plain service, at least 1; `None` for an engine.
    pub(super) rounds: Option<f64>,
}

/// An endpoint that may be selected, and what the peers do there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) member: &'a Member,
    pub(super) peers: PeerLoad,
}

impl Candidate<'_> {
    /// Requests in flight, of all processes.
    fn requests(&self) -> f64 {
        f64::from(self.member.in_flight) + self.peers.requests
    }
}

/// What is known of all endpoints of a service while a request is placed.
pub(super) struct Conditions<'a> {
    model: &'a Model,
    /// Time to prefill a token at a prefill engine, in seconds.
    prefill_seconds: f64,
    pause_pressure: f64,
    lateness: Option<Lateness>,
    preferred_zone: &'a Zone,
    home: Option<&'a Endpoint>,
    /// Whether endpoints report their slowdown.
    report_slowdown: bool,
    now: Instant,
}

impl<'a> Conditions<'a> {
    /// Collects the conditions for a request. `candidates` are all endpoints that may serve it.
    pub(super) fn new(
        model: &'a Model,
        candidates: &[Candidate<'a>],
        demand: &Demand,
        preferred_zone: &'a Zone,
        now: Instant,
    ) -> Self {
        let seconds = |stage| 1.0 / model.stage_rate(&demand.service, stage, now).get();
        let prefill_seconds = seconds(Some(Stage::Prefill));
        let pause_pressure = model.pause_pressure(&demand.service, now);
        let delays = requests_per_decode_engine(candidates) * pause_pressure;
        let decode_slowdown = seconds(Some(Stage::Decode)) / prefill_seconds * (1.0 + delays);
        let lateness = Lateness::new(model, demand, now);
        let decode_weight = if lateness.is_none_or(|lateness| lateness.allows_decode_homes()) {
            home_weight(decode_slowdown)
        } else {
            0.0
        };
        let prefills =
            |candidate: &Candidate<'_>| candidate.member.instance.stage != Some(Stage::Decode);
        let any_prefills = candidates.iter().any(prefills);
        let home = demand.affinity.and_then(|affinity| {
            let weights = candidates.iter().map(|candidate| {
                let weight = if !any_prefills || prefills(candidate) {
                    1.0
                } else {
                    decode_weight
                };
                (&candidate.member.instance.id, weight)
            });
            home(weights, affinity)
        });
        Self {
            model,
            prefill_seconds,
            pause_pressure,
            lateness,
            preferred_zone,
            home,
            report_slowdown: candidates
                .iter()
                .any(|candidate| candidate.member.reports_slowdown()),
            now,
        }
    }

    /// The engine that keeps the shared prefix of the request.
    pub(super) const fn home(&self) -> Option<&'a Endpoint> {
        self.home
    }

    /// Estimates what a request would meet at an endpoint.
    pub(super) fn place(&self, candidate: &Candidate<'_>, demand: &Demand) -> Placement {
        if demand.prompt == Tokens::ZERO {
            return self.place_plain(candidate);
        }
        let member = candidate.member;
        let instance = &member.instance;
        let is_remote = instance.zone != *self.preferred_zone;
        let requests = candidate.requests();
        let slowdown = member.slowdown_factor(self.now);
        let seconds = slowdown / self.model.engine_rate(instance, self.now).get();
        let is_home = self.home == Some(&instance.id);
        let shared = as_f64(demand.shared_prefix.get());
        let fetch_seconds = KV_FETCH_SETUP.as_secs_f64() + shared / KV_FETCH_RATE;
        let misses = !is_home && self.home.is_some() && demand.need != Need::Decode;
        let fetches = misses && fetch_seconds < shared * seconds;
        let fetch = if fetches { fetch_seconds } else { 0.0 };
        let eviction = if misses {
            shared * self.prefill_seconds * CACHE_EVICTION_FACTOR
        } else {
            0.0
        };
        let prefill = prefill_tokens(demand, is_home || fetches);
        let (urgent, less_urgent) = member.backlog.split(demand.rank);
        let queued = as_f64(urgent)
            + candidate.peers.urgent_tokens
            + (as_f64(less_urgent) + candidate.peers.less_urgent_tokens) * LESS_URGENT_FRACTION;
        let wait = queued * seconds;
        let own = as_f64(prefill.get()) * seconds;
        let transfer = match instance.stage {
            Some(Stage::Prefill) => KV_TRANSFER.as_secs_f64(),
            Some(Stage::Decode) | None => 0.0,
        };
        let zone = if is_remote {
            REMOTE_ZONE
        } else {
            Duration::ZERO
        };
        let bare_forecast = Duration::from_secs_f64(wait + own + fetch + transfer);
        let excess = match self.lateness {
            Some(_) => self.model.excess(instance, prefill, self.now),
            None => Duration::ZERO,
        };
        let forecast = bare_forecast + excess;
        let all_queued = as_f64(urgent.saturating_add(less_urgent))
            + candidate.peers.urgent_tokens
            + candidate.peers.less_urgent_tokens;
        let work = Work {
            queued: Duration::from_secs_f64(all_queued * seconds),
            own: Duration::from_secs_f64(own),
        };
        Placement {
            cost: forecast.as_secs_f64()
                + self.harm(instance.stage, requests, work, forecast)
                + eviction
                + requests * slowdown * REQUEST_OVERHEAD.as_secs_f64()
                + zone.as_secs_f64(),
            prefill,
            tokens_ahead: Tokens::new(round(queued)) + prefill,
            fetches,
            forecast,
            bare_forecast,
            queueing: Duration::from_secs_f64(wait),
            delays_streams: instance.stage == Some(Stage::Decode)
                && self
                    .lateness
                    .is_some_and(|lateness| lateness.delays_streams(work.queued + work.own)),
            rounds: None,
        }
    }

    /// Estimates what a request would meet at an endpoint of a plain service.
    fn place_plain(&self, candidate: &Candidate<'_>) -> Placement {
        let member = candidate.member;
        let instance = &member.instance;
        let slots = f64::from(instance.slots.max(1));
        let is_remote = instance.zone != *self.preferred_zone;
        let zone = if is_remote { REMOTE_ZONE_REQUESTS } else { 0.0 };
        let mut requests = candidate.requests();
        if self.report_slowdown {
            // The endpoint also knows of requests that their senders have given up, and of peers without
            // a link.
            let reported = f64::from(member.in_flight) + member.recent_peer_requests(self.now);
            requests = requests.max(reported);
        }
        let per_slot = (requests + 1.0 + zone) / slots;
        let rounds = ((requests + 1.0) / slots).max(1.0);
        let slowdown = member.slowdown_factor(self.now);
        let (cost, forecast) = if self.report_slowdown {
            let service_time = self.model.service_time(&instance.service, self.now);
            (
                slowdown * (per_slot.max(1.0) + per_slot * SLOTS_IN_USE_COST),
                service_time.mul_f64(slowdown * rounds),
            )
        } else {
            (per_slot, Duration::ZERO)
        };
        Placement {
            cost,
            prefill: Tokens::ZERO,
            tokens_ahead: Tokens::ZERO,
            fetches: false,
            forecast,
            bare_forecast: forecast,
            queueing: Duration::ZERO,
            delays_streams: false,
            rounds: Some(rounds),
        }
    }

    /// What a placement costs the request itself and the streams that run at the engine, beyond the time
    /// until the request is answered, in seconds.
    fn harm(&self, stage: Option<Stage>, requests: f64, work: Work, forecast: Duration) -> f64 {
        match (self.lateness, stage) {
            (None, Some(Stage::Prefill)) => 0.0,
            // Every stream that runs at the engine is delayed by the prefill.
            (None, _) => work.own.as_secs_f64() * requests * self.pause_pressure,
            (Some(lateness), Some(Stage::Prefill)) => lateness.of_request(forecast).as_secs_f64(),
            (Some(lateness), _) => {
                let streams = lateness.of_streams(requests, work.queued, work.own);
                (lateness.of_request(forecast) + streams).as_secs_f64()
            }
        }
    }
}

/// Time that an engine spends on prefills.
#[derive(Clone, Copy)]
struct Work {
    /// For requests that were placed there before.
    queued: Duration,
    /// For the request that is placed.
    own: Duration,
}

/// Mean number of requests in flight at a decode engine; 0 without one.
fn requests_per_decode_engine(candidates: &[Candidate<'_>]) -> f64 {
    let engines = candidates
        .iter()
        .filter(|candidate| candidate.member.instance.stage == Some(Stage::Decode));
    let (engines, requests) = engines.fold((0.0, 0.0), |(engines, requests), engine| {
        (engines + 1.0, requests + engine.requests())
    });
    requests / f64::max(engines, 1.0)
}

/// Share of the prefixes that a decode engine keeps, relative to a prefill engine, if a prefill
/// costs `slowdown` times as much there. Rounded, so that processes with slightly different
/// estimates agree on the home of each prefix.
fn home_weight(slowdown: f64) -> f64 {
    if slowdown > HOME_SLOWDOWN_MAX {
        return 0.0;
    }
    0.5_f64.powf(slowdown.max(1.0).log2().round())
}
