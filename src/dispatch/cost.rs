use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Instant,
};

use super::{
    Demand, Need,
    member::Member,
    peer_load::{PeerLoad, PeerLoads},
};
use crate::{
    directory::Stage,
    id::{Endpoint, Zone},
    unit::{Tokens, as_f64},
};

/// Prompt tokens waiting for prefill that are assumed for each request of a process that does not
/// report its usage: about the mean of the tokens that requests leave to prefill.
const PEER_PROMPT_TOKENS: f64 = 600.0;
/// Cost of a request besides its prefill, in prompt tokens: it slows down the decode steps of the
/// engine.
const REQUEST_OVERHEAD_TOKENS: f64 = 100.0;
/// Fraction of the less urgent backlog that a request waits for: an engine finishes the prefills
/// that it has started.
const LESS_URGENT_FRACTION: f64 = 0.5;
/// Cost of a token prefilled at a decode engine, in prompt tokens. Prefill runs at half the speed
/// there, and each step with a prefill chunk slows down all streams of the engine.
const DECODE_PREFILL_FACTOR: f64 = 14.0;
/// Prompt length at which the cost per token at a decode engine doubles: a long prompt slows down
/// its streams for longer than their callers wait.
const DECODE_PREFILL_SCALE_TOKENS: f64 = 3_000.0;
/// Cost of prefilling a shared token that another engine has cached, in prompt tokens, besides the
/// prefill itself: it evicts a cached prefix of other requests, which is prefilled again later.
const CACHE_EVICTION_FACTOR: f64 = 7.0;
/// Cost of transferring a KV cache between engines, in prompt tokens: it takes a second request.
const KV_TRANSFER_TOKENS: f64 = 400.0;
/// Cost of an engine in another zone, in prompt tokens. It decides between endpoints with nearly
/// the same load.
const REMOTE_ZONE_TOKENS: f64 = 60.0;
/// Cost of an endpoint of a plain service in another zone, in requests.
const REMOTE_ZONE_REQUESTS: f64 = 0.5;

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

/// The engine of a stage that is preferred for requests with the same affinity hash. Uses
/// rendezvous hashing: when an engine is added or removed, only the requests that it serves move.
pub(super) fn affinity_endpoint<'a>(
    members: &[&'a Member],
    stage: Option<Stage>,
    affinity: u64,
) -> Option<&'a Endpoint> {
    let weight = |endpoint: &Endpoint| {
        let mut hasher = DefaultHasher::new();
        (affinity, endpoint).hash(&mut hasher);
        hasher.finish()
    };
    members
        .iter()
        .filter(|member| member.instance.stage == stage)
        .map(|member| &member.instance.id)
        .max_by_key(|endpoint| weight(endpoint))
}

/// Estimates the time to first token at an endpoint, in prompt tokens that an engine prefills in
/// that time. For a plain service the cost is the number of requests per slot.
pub(super) fn cost(
    member: &Member,
    demand: &Demand,
    has_affinity: bool,
    preferred_zone: &Zone,
    peers: PeerLoad,
) -> f64 {
    let is_remote = member.instance.zone != *preferred_zone;
    let in_flight = f64::from(member.in_flight);
    if demand.prompt.get() == 0 {
        let zone = if is_remote { REMOTE_ZONE_REQUESTS } else { 0.0 };
        return (in_flight + peers.requests + 1.0 + zone) / f64::from(member.instance.slots.max(1));
    }
    let prompt = as_f64(prefill_tokens(demand, has_affinity).get());
    let eviction = if has_affinity || demand.need == Need::Decode {
        0.0
    } else {
        as_f64(demand.shared_prefix.get()) * CACHE_EVICTION_FACTOR
    };
    let (urgent, less_urgent) = member.backlog.split(demand.rank);
    let queued = as_f64(urgent)
        + peers.urgent_tokens
        + (as_f64(less_urgent) + peers.less_urgent_tokens) * LESS_URGENT_FRACTION;
    let (prefill, transfer) = match (member.instance.stage, demand.need) {
        (_, Need::Decode) => (0.0, 0.0),
        (Some(Stage::Prefill), _) => (prompt, KV_TRANSFER_TOKENS),
        (Some(Stage::Decode), _) => {
            let slowdown = 1.0 + prompt / DECODE_PREFILL_SCALE_TOKENS;
            (prompt * DECODE_PREFILL_FACTOR * slowdown, 0.0)
        }
        (None, _) => (prompt, 0.0),
    };
    let prefill_factor = match member.instance.stage {
        Some(Stage::Decode) => DECODE_PREFILL_FACTOR,
        _ => 1.0,
    };
    let zone = if is_remote { REMOTE_ZONE_TOKENS } else { 0.0 };
    queued * prefill_factor
        + prefill
        + eviction
        + transfer
        + (in_flight + peers.requests) * REQUEST_OVERHEAD_TOKENS
        + zone
}
