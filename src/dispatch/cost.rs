use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Instant,
};

use super::{
    Demand, Need,
    hearsay::{Foreign, Hearsay},
    member::Member,
};
use crate::{
    directory::Stage,
    id::{Endpoint, Zone},
    unit::{Tokens, as_f64},
};

/// Prompt tokens assumed for a request of another process that an engine reports, where that process
/// does not tell: about the mean of what the requests leave to read.
const FOREIGN_PROMPT: f64 = 600.0;
/// Cost of a request besides its prompt, in prompt tokens: the steps that it slows down.
const REQUEST_COST: f64 = 100.0;
/// Part of the less urgent prompts that a request waits for: an engine reads those that it has begun
/// to their end.
const LESS_URGENT_PART: f64 = 0.5;
/// Cost of reading a prompt token at a decode engine. It reads at half the speed, and each step with
/// a piece of a prompt slows down all streams of the engine.
const DECODE_PREFILL_COST: f64 = 14.0;
/// Length of a prompt at which that cost is twice as high per token: a long prompt slows down the
/// streams of a decode engine for longer than their callers wait.
const DECODE_PREFILL_SCALE: f64 = 3_000.0;
/// Cost of reading a shared token that another engine holds, besides the time for it: it takes the
/// place of a part that others need, and that part is read again later.
const AWAY_COST: f64 = 7.0;
/// Cost of handing a KV cache from one engine to another, in prompt tokens: a second request.
const TRANSFER_COST: f64 = 400.0;
/// Cost of an endpoint in another zone, in prompt tokens for an engine. It decides between
/// endpoints with nearly the same load.
const FAR_COST: f64 = 60.0;
/// The same for a plain service, in requests.
const FAR_REQUESTS: f64 = 0.5;

/// Work of other processes at an endpoint: what they tell, else an estimate from its report.
pub(super) fn others(hearsay: &Hearsay, member: &Member, rank: u8, now: Instant) -> Foreign {
    hearsay.at(&member.instance.id, rank).unwrap_or_else(|| {
        let others = member.others(now);
        // At a decode engine the running requests have been read.
        let unread = match member.instance.stage {
            Some(Stage::Decode) => member.waiting(now),
            _ => others,
        };
        Foreign {
            requests: f64::from(others),
            urgent: f64::from(unread) * FOREIGN_PROMPT,
            patient: 0.0,
        }
    })
}

/// Prompt tokens that an endpoint has to read for a request.
pub(super) fn unread(demand: &Demand, at_home: bool) -> Tokens {
    match demand.need {
        Need::Decode => Tokens::ZERO,
        Need::Start | Need::Whole if at_home => {
            Tokens::new(demand.prompt.get().saturating_sub(demand.shared.get()))
        }
        Need::Start | Need::Whole => demand.prompt,
    }
}

/// The engine of a stage that requests with the same shared parts go to. Rendezvous hashing: when
/// an engine comes or goes, only the requests that it serves move.
pub(super) fn home<'a>(
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

/// Estimate of the time until the first token, in prompt tokens that an engine reads meanwhile; for
/// a plain service, of the requests per slot.
pub(super) fn cost(
    member: &Member,
    demand: &Demand,
    at_home: bool,
    near: &Zone,
    others: Foreign,
) -> f64 {
    let far = member.instance.zone != *near;
    let Foreign {
        requests: others,
        urgent,
        patient,
    } = others;
    let own = f64::from(member.own);
    if demand.prompt.get() == 0 {
        let far = if far { FAR_REQUESTS } else { 0.0 };
        return (own + others + 1.0 + far) / f64::from(member.instance.slots.max(1));
    }
    let prompt = as_f64(unread(demand, at_home).get());
    let away = if at_home || demand.need == Need::Decode {
        0.0
    } else {
        as_f64(demand.shared.get()) * AWAY_COST
    };
    let (own_urgent, own_patient) = member.unread.split(demand.rank);
    let queued = as_f64(own_urgent) + urgent + (as_f64(own_patient) + patient) * LESS_URGENT_PART;
    let (read, transfer) = match (member.instance.stage, demand.need) {
        (_, Need::Decode) => (0.0, 0.0),
        (Some(Stage::Prefill), _) => (prompt, TRANSFER_COST),
        (Some(Stage::Decode), _) => {
            let slowdown = 1.0 + prompt / DECODE_PREFILL_SCALE;
            (prompt * DECODE_PREFILL_COST * slowdown, 0.0)
        }
        (None, _) => (prompt, 0.0),
    };
    let speed = match member.instance.stage {
        Some(Stage::Decode) => DECODE_PREFILL_COST,
        _ => 1.0,
    };
    let far = if far { FAR_COST } else { 0.0 };
    queued * speed + read + away + transfer + (own + others) * REQUEST_COST + far
}
