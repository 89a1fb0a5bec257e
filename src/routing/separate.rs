use rand::{Rng as _, RngCore};

use super::{
    Demand, Policy, Pool, Status, View, Weights,
    policy::{fits_role, prefer},
    view::is_long,
};
use crate::{id::Endpoint, unit::as_f64};

/// Parts of the work that belong to long prompts between which they have engines of their own.
const LEAST_LONG: f64 = 0.02;
const MOST_LONG: f64 = 0.9;
/// Weight of the work of other entries. Their reports are older than most requests, and all entries
/// read the same ones: at the full weight all choose the same engines until the next report.
const REPORTED: f64 = 0.1;

/// Sends long prompts to engines of their own, and each request to the engine with the least work
/// of this entry; reports of the work of others count little.
#[derive(Clone, Copy, Debug, Default)]
pub struct Separate {
    weights: Weights,
}

impl Separate {
    /// Work before the end of the request, in prompt tokens per slot.
    fn load(&self, demand: &Demand, status: &Status) -> f64 {
        let Weights {
            decode,
            request,
            output,
        } = self.weights;
        let input = status.own.input + demand.cost.input;
        let mut input = as_f64(input.saturating_sub(status.cached(demand)).get());
        let mut requests = f64::from(status.in_flight) + 1.0;
        let mut tokens = as_f64(status.own.output.get() + demand.cost.output.get());
        if let Some((report, _)) = &status.report {
            let load = &report.load;
            // The report counts the requests of this entry, too.
            let others = f64::from(load.in_progress.saturating_sub(status.in_flight));
            let part = others / f64::from(load.in_progress.max(1)) * REPORTED;
            input += as_f64(load.prefill.get()) * part;
            requests += others * REPORTED;
            tokens += f64::from(load.decoding + load.waiting) * output * part;
        }
        (input + tokens * decode + requests * request) / f64::from(status.spec.slots.max(1))
    }
}

impl Policy for Separate {
    fn shares_slots(&self) -> bool {
        true
    }

    fn choose(&self, demand: &Demand, view: &View, rng: &mut dyn RngCore) -> Option<Endpoint> {
        let all = view.candidates(demand);
        let fitting = prefer(&all, |status| fits_role(demand, status.role()));
        let fitting = separate(demand, view, &fitting);
        // A returning endpoint is a candidate for only a part of the requests.
        let ready = prefer(&fitting, |status| {
            let portion = status.portion.get();
            portion >= 1.0 || rng.random_bool(portion)
        });
        if ready.is_empty() {
            return None;
        }
        // From a random one on, so that equal loads do not all fall to the first endpoint.
        let first = rng.random_range(0..ready.len());
        let turn = (0..ready.len()).map(|step| ready[(first + step) % ready.len()]);
        let loads = turn.map(|(endpoint, status)| (endpoint, self.load(demand, status)));
        let least = loads.min_by(|(_, a), (_, b)| a.total_cmp(b));
        least.map(|(endpoint, _)| endpoint.clone())
    }
}

/// The engines for long or for short prompts.
///
/// The prompt of a long request delays every token of its engine, so long prompts go to a part of
/// the engines that other requests avoid. All entries take the engines in the same order. The part
/// follows the recent work; it is at most a third, so that a flood of long prompts does not crowd
/// the others together.
fn separate<'a>(
    demand: &Demand,
    view: &View,
    items: &[(&'a Endpoint, &'a Status)],
) -> Vec<(&'a Endpoint, &'a Status)> {
    let part = view.long_work();
    let most = items.len() / 3;
    if matches!(demand.pool, Pool::Service(_)) || most == 0 || part > MOST_LONG {
        return items.to_vec();
    }
    let wanted = part * as_f64(items.len() as u64);
    let count = (1..most).find(|count| as_f64(*count as u64) >= wanted);
    let (short, long) = items.split_at(items.len() - count.unwrap_or(most));
    if is_long(demand) {
        long.to_vec()
    } else if part < LEAST_LONG {
        items.to_vec()
    } else {
        short.to_vec()
    }
}
