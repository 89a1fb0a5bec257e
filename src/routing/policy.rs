use std::{
    fmt,
    sync::atomic::{AtomicUsize, Ordering},
};

use rand::{Rng as _, RngCore};

use super::{Demand, Pool, Status, View};
use crate::{id::Endpoint, unit::as_f64, wire::Role};

/// Difference of load, as a part of the larger one, below which the zone decides.
const TIE: f64 = 0.05;

/// Chooses one of the candidates of a [`View`].
pub trait Policy: fmt::Debug + Send {
    /// The endpoint for a request, or nothing if no endpoint fits. A choice must
    /// be one of [`View::candidates`].
    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint>;

    /// Whether this entry leaves slots to the other entries, by what the endpoints report. If not,
    /// it uses all slots of a pool.
    fn shares_slots(&self) -> bool {
        false
    }
}

/// Takes the endpoints in turn. A baseline.
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

/// Takes the endpoint with the fewest requests of this entry. A baseline.
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

/// Cost of work in prompt tokens. The defaults are estimates, to be replaced by measured values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// A token to generate. Generation is bound by memory, so a token takes longer than a prompt
    /// token, but a batch shares the time.
    pub decode: f64,
    /// A request, whatever its size. It alone orders endpoints of plain services.
    pub request: f64,
    /// Output tokens assumed for a request that an endpoint reports.
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

/// Compares the load of two random candidates and of the one with the most cached prompt.
///
/// The sample keeps entries with the same stale reports from all choosing one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Balanced {
    weights: Weights,
}

impl Balanced {
    /// The policy with other weights.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights }
    }

    /// Work before the end of the request, in prompt tokens per slot.
    fn load(&self, demand: &Demand, status: &Status) -> f64 {
        let Weights {
            decode,
            request,
            output,
        } = self.weights;
        let mut input = status.own.input + demand.cost.input;
        input = input.saturating_sub(status.cached(demand));
        let mut requests = f64::from(status.in_flight) + 1.0;
        let mut tokens = as_f64(status.own.output.get() + demand.cost.output.get());
        if let Some((report, _)) = &status.report {
            let load = &report.load;
            input += load.prefill;
            requests += f64::from(load.in_progress);
            tokens += f64::from(load.decoding + load.waiting) * output;
        }
        let work = as_f64(input.get()) + tokens * decode + requests * request;
        work / f64::from(status.spec.slots.max(1))
    }

    /// Whether `a` is better than `b`.
    fn beats(&self, demand: &Demand, view: &View, a: &Status, b: &Status) -> bool {
        let (load_a, load_b) = (self.load(demand, a), self.load(demand, b));
        let near = |status: &Status| Some(&status.spec.zone) == view.zone();
        if (load_a - load_b).abs() <= load_a.max(load_b) * TIE && near(a) != near(b) {
            return near(a);
        }
        load_a < load_b
    }
}

impl Policy for Balanced {
    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint> {
        let all = view.candidates(demand);
        let fitting = prefer(&all, |status| fits_role(demand, status.role()));
        // A returning endpoint is a candidate for only a part of the requests.
        let ready = prefer(&fitting, |status| {
            let portion = status.portion.get();
            portion >= 1.0 || rng.random_bool(portion)
        });
        if ready.is_empty() {
            return None;
        }
        let first = rng.random_range(0..ready.len());
        let second = (first + 1 + rng.random_range(0..ready.len().max(2) - 1)) % ready.len();
        let warm = ready
            .iter()
            .filter(|(_, status)| status.cached(demand).get() > 0)
            .max_by_key(|(_, status)| status.cached(demand));
        let rivals = [ready[second]].into_iter().chain(warm.copied());
        let best = rivals.fold(ready[first], |best, rival| {
            if self.beats(demand, view, rival.1, best.1) {
                rival
            } else {
                best
            }
        });
        Some(best.0.clone())
    }
}

/// The items that pass a test, or all of them if none does: an endpoint that fits badly is better
/// than none.
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

/// Engines for prompts take requests with more prompt than output, engines for generation the
/// others.
pub(super) fn fits_role(demand: &Demand, role: Role) -> bool {
    let long_prompt = demand.cost.input > demand.cost.output;
    match (&demand.pool, role) {
        (Pool::Service(_), _) | (_, Role::Mixed) => true,
        (_, Role::Prefill) => long_prompt,
        (_, Role::Decode) => !long_prompt,
    }
}
