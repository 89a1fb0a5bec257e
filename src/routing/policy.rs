use std::{
    fmt,
    sync::atomic::{AtomicUsize, Ordering},
};

use rand::{Rng as _, RngCore};

use super::{Demand, Pool, Status, View};
use crate::{id::Endpoint, unit::as_f64, wire::Role};

/// Relative difference of two loads up to which the zone decides.
const LOAD_TIE_FRACTION: f64 = 0.05;

/// Selects one of the candidates of a [`View`].
pub trait Policy: fmt::Debug + Send {
    /// Returns the endpoint for a request, or `None` if no endpoint is eligible. The endpoint must
    /// be one of [`View::candidates`].
    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint>;

    /// Returns whether this entry adapts its slots of a pool to the reported load of all entries.
    /// If not, which is the default, it uses an equal share of the slots of each endpoint.
    fn uses_adaptive_slots(&self) -> bool {
        false
    }
}

/// Selects the candidates in turn. Serves as a baseline.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, demand: &Demand, view: &View, _rng: &mut dyn RngCore) -> Option<Endpoint> {
        let candidates = view.candidates(demand);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let index = turn.checked_rem(candidates.len())?;
        Some(candidates[index].0.clone())
    }
}

/// Selects the candidate with the fewest requests of this entry in flight. Serves as a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose(&self, demand: &Demand, view: &View, _rng: &mut dyn RngCore) -> Option<Endpoint> {
        let least = view
            .candidates(demand)
            .into_iter()
            .min_by_key(|(_, status)| status.in_flight);
        least.map(|(endpoint, _)| endpoint.clone())
    }
}

/// Costs of the parts of a request, in prompt tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Cost of an output token, 4 by default. Decode is bound by memory bandwidth, so an output
    /// token takes longer than a prompt token, but the requests of a batch share that time.
    pub decode: f64,
    /// Fixed cost of a request, 64 by default. For endpoints of plain services it is the only cost.
    pub request: f64,
    /// Output tokens assumed for each request in a load report, 128 by default.
    pub output: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            decode: 4.0,
            request: 64.0,
            output: 128.0,
        }
    }
}

/// Selects the least loaded of two random candidates and the one with the most cached prompt
/// tokens.
///
/// The random sample keeps entries that see the same stale reports from all selecting the same
/// endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo {
    weights: Weights,
}

impl PowerOfTwo {
    /// Creates the policy with these weights instead of the defaults.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights }
    }

    /// Estimates the outstanding work of an endpoint including this request, in prompt tokens per
    /// slot.
    fn load(&self, demand: &Demand, status: &Status) -> f64 {
        let Weights {
            decode,
            request,
            output,
        } = self.weights;
        let mut input = status.in_flight_cost.input + demand.cost.input;
        input = input.saturating_sub(status.cached(demand));
        let mut requests = f64::from(status.in_flight) + 1.0;
        let mut tokens = as_f64(status.in_flight_cost.output.get() + demand.cost.output.get());
        if let Some((report, _)) = &status.report {
            let load = &report.load;
            input += load.prefill;
            requests += f64::from(load.in_progress);
            tokens += f64::from(load.decoding + load.waiting) * output;
        }
        let work = as_f64(input.get()) + tokens * decode + requests * request;
        work / f64::from(status.spec.slots.max(1))
    }

    /// Returns whether `a` is preferred over `b`.
    fn is_better(&self, demand: &Demand, view: &View, a: &Status, b: &Status) -> bool {
        let (load_a, load_b) = (self.load(demand, a), self.load(demand, b));
        let same_zone = |status: &Status| Some(&status.spec.zone) == view.zone();
        if (load_a - load_b).abs() <= load_a.max(load_b) * LOAD_TIE_FRACTION
            && same_zone(a) != same_zone(b)
        {
            return same_zone(a);
        }
        load_a < load_b
    }
}

impl Policy for PowerOfTwo {
    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint> {
        let all = view.candidates(demand);
        let role_matches = prefer(&all, |status| fits_role(demand, status.role()));
        // An endpoint that recovers from an ejection gets only a fraction of the requests.
        let ready = prefer(&role_matches, |status| {
            let share = status.traffic_share.get();
            share >= 1.0 || rng.random_bool(share)
        });
        if ready.is_empty() {
            return None;
        }
        let first = rng.random_range(0..ready.len());
        let second = (first + 1 + rng.random_range(0..ready.len().max(2) - 1)) % ready.len();
        let most_cached = ready
            .iter()
            .filter(|(_, status)| status.cached(demand).get() > 0)
            .max_by_key(|(_, status)| status.cached(demand));
        let others = [ready[second]].into_iter().chain(most_cached.copied());
        let best = others.fold(ready[first], |best, other| {
            if self.is_better(demand, view, other.1, best.1) {
                other
            } else {
                best
            }
        });
        Some(best.0.clone())
    }
}

/// Returns the candidates that pass `test`, or all of them if none does, because a poor match is
/// better than no endpoint.
pub(super) fn prefer<'a>(
    items: &[(&'a Endpoint, &'a Status)],
    mut test: impl FnMut(&Status) -> bool,
) -> Vec<(&'a Endpoint, &'a Status)> {
    let passing: Vec<_> = items
        .iter()
        .filter(|(_, status)| test(status))
        .copied()
        .collect();
    if passing.is_empty() {
        items.to_vec()
    } else {
        passing
    }
}

/// Returns whether the role of an engine suits a request: prefill engines take requests with more
/// input than output tokens, decode engines take the others.
pub(super) fn fits_role(demand: &Demand, role: Role) -> bool {
    let input_heavy = demand.cost.input > demand.cost.output;
    match (&demand.pool, role) {
        (Pool::Service(_), _) | (_, Role::Mixed) => true,
        (_, Role::Prefill) => input_heavy,
        (_, Role::Decode) => !input_heavy,
    }
}
