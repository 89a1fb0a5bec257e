use rand::{Rng as _, RngCore};

use super::{
    Demand, Policy, Pool, Status, View, Weights,
    policy::{fits_role, prefer},
    view::is_long,
};
use crate::{id::Endpoint, unit::as_f64};

/// Fraction of long-prompt work below which short prompts may use all engines.
const LONG_SHARE_MIN: f64 = 0.02;
/// Fraction of long-prompt work above which all requests may use all engines.
const LONG_SHARE_MAX: f64 = 0.9;
/// Weight of the reported work of other entries. Reports are older than most requests, and all
/// entries see the same ones: at full weight, all would select the same engines until the next
/// report.
const REPORT_WEIGHT: f64 = 0.1;

/// Isolates long prompts on a subset of the engines, and selects the engine with the least
/// outstanding work there. Work of this entry counts in full, reported work of other entries
/// with a low weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    weights: Weights,
}

impl Isolation {
    /// Estimates the outstanding work of an endpoint including this request, in prompt tokens per
    /// slot.
    fn load(&self, demand: &Demand, status: &Status) -> f64 {
        let Weights {
            decode,
            request,
            output,
        } = self.weights;
        let input = status.in_flight_cost.input + demand.cost.input;
        let mut input = as_f64(input.saturating_sub(status.cached(demand)).get());
        let mut requests = f64::from(status.in_flight) + 1.0;
        let mut tokens = as_f64(status.in_flight_cost.output.get() + demand.cost.output.get());
        if let Some((report, _)) = &status.report {
            let load = &report.load;
            // The report includes the requests of this entry.
            let others = f64::from(load.in_progress.saturating_sub(status.in_flight));
            let weight = others / f64::from(load.in_progress.max(1)) * REPORT_WEIGHT;
            input += as_f64(load.prefill.get()) * weight;
            requests += others * REPORT_WEIGHT;
            tokens += f64::from(load.decoding + load.waiting) * output * weight;
        }
        (input + tokens * decode + requests * request) / f64::from(status.spec.slots.max(1))
    }
}

impl Policy for Isolation {
    fn uses_adaptive_slots(&self) -> bool {
        true
    }

    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint> {
        let all = view.candidates(demand);
        let role_matches = prefer(&all, |status| fits_role(demand, status.role()));
        let isolated = isolate_long_prompts(demand, view, &role_matches);
        // An endpoint that recovers from an ejection gets only a fraction of the requests.
        let ready = prefer(&isolated, |status| {
            let share = status.traffic_share.get();
            share >= 1.0 || rng.random_bool(share)
        });
        if ready.is_empty() {
            return None;
        }
        // Starts at a random endpoint, so that ties do not all go to the first one.
        let first = rng.random_range(0..ready.len());
        let rotated = (0..ready.len()).map(|step| ready[(first + step) % ready.len()]);
        let loads = rotated.map(|(endpoint, status)| (endpoint, self.load(demand, status)));
        let least = loads.min_by(|(_, a), (_, b)| a.total_cmp(b));
        least.map(|(endpoint, _)| endpoint.clone())
    }
}

/// Returns the engines for long or for short prompts.
///
/// A long prefill delays every token that its engine decodes, so long prompts go to a subset of the
/// engines that other requests avoid. All entries order the engines in the same way, so their
/// subsets agree. The size of the subset follows the recent workload. It is at most a third of the
/// engines, so that a burst of long prompts does not overload the engines left for short ones.
fn isolate_long_prompts<'a>(
    demand: &Demand,
    view: &View,
    items: &[(&'a Endpoint, &'a Status)],
) -> Vec<(&'a Endpoint, &'a Status)> {
    let long_share = view.long_prompt_share();
    let max = items.len() / 3;
    if matches!(demand.pool, Pool::Service(_)) || max == 0 || long_share > LONG_SHARE_MAX {
        return items.to_vec();
    }
    let wanted = long_share * as_f64(items.len() as u64);
    let count = (1..max).find(|count| as_f64(*count as u64) >= wanted);
    let (short, long) = items.split_at(items.len() - count.unwrap_or(max));
    if is_long(demand) {
        long.to_vec()
    } else if long_share < LONG_SHARE_MIN {
        items.to_vec()
    } else {
        short.to_vec()
    }
}
