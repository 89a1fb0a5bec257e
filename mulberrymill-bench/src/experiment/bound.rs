use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use mulberrymill::unit::Tokens;

use super::{
    deployment::{as_f64, min_engine_time},
    scenario::{ENGINES, Fault, Plan},
};
use crate::load::{Arrival, Kind};

/// Ratio between adjacent groups of worth per engine second.
const DENSITY_STEP: f64 = 1.1;

/// Upper bound on the worth that a policy can reach.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct UpperBound {
    /// Upper bound on the worth of the good answers.
    pub worth: f64,
    /// Total worth of all requests.
    pub offered: f64,
}

/// Engine work that can be done between its release and its deadline; times in seconds.
#[derive(Clone, Copy, Debug)]
struct Job {
    release: f64,
    deadline: f64,
    work: f64,
    /// Logarithm of the worth per engine second to the base [`DENSITY_STEP`], rounded up.
    density: i32,
}

/// Computes an upper bound on the worth with full knowledge of the arrivals.
///
/// Every request needs at least the engine time of its prompt, without the prefix that all requests
/// of its kind share, and of its tokens in a full batch. The bound relaxes the problem: all engines
/// that are up can process any request in any order and split it freely, a fraction of an answer
/// counts as that fraction of its worth, and no target applies except the one for the whole answer,
/// a deadline that every good answer meets. Each relaxation can only raise the worth, so no policy
/// exceeds the bound.
///
/// The feasible sets of work in the relaxed problem form a polymatroid. A greedy order by worth per
/// engine second is therefore optimal: the work done for the first `k` groups in this order is the
/// maximum for these groups, which earliest-deadline-first achieves. Requests are grouped by worth
/// per engine second in steps of 10%, and each group counts with its largest value.
#[must_use]
pub fn upper_bound(plan: &Plan) -> UpperBound {
    let mut jobs: Vec<Job> = Vec::new();
    let mut bound = UpperBound::default();
    for (arrival, shared) in &plan.arrivals {
        let spec = &plan.document.classes[&arrival.class];
        let worth = f64::from(spec.worth.get());
        bound.offered += worth;
        if arrival.kind == Kind::Print {
            // Calls do not use the engines.
            bound.worth += worth;
            continue;
        }
        let work = request_engine_time(arrival, *shared).as_secs_f64();
        #[expect(clippy::cast_possible_truncation, reason = "logarithms are small")]
        let density = ((worth / work).ln() / DENSITY_STEP.ln()).ceil() as i32;
        let release = arrival.at.as_secs_f64();
        let deadline = release + spec.whole.as_secs_f64();
        jobs.push(Job {
            release,
            deadline,
            work,
            density,
        });
    }
    let mut densities: Vec<i32> = jobs.iter().map(|job| job.density).collect();
    densities.sort_unstable_by_key(|density| Reverse(*density));
    densities.dedup();
    let engines_up = engines_up(plan);
    let mut previous_total = 0.0;
    for density in densities {
        let total = max_work(
            jobs.iter().filter(|job| job.density >= density),
            &engines_up,
        );
        bound.worth += (total - previous_total) * DENSITY_STEP.powi(density);
        previous_total = total;
    }
    bound.worth = bound.worth.min(bound.offered);
    bound
}

fn request_engine_time(arrival: &Arrival, shared: Tokens) -> Duration {
    min_engine_time(
        crate::engine::tokens(&arrival.prompt),
        shared,
        arrival.output,
    )
}

/// Start times in seconds, and the number of engines that are up from then on.
fn engines_up(plan: &Plan) -> Vec<(f64, f64)> {
    let mut engines_up = vec![(0.0, f64::from(ENGINES))];
    let mut up = f64::from(ENGINES);
    for (at, fault) in &plan.faults {
        up += match fault {
            // A draining engine completes its requests; the bound lets it process any.
            Fault::Drain(_) => 0.0,
            Fault::Crash(_) => -1.0,
            Fault::Restart(_) => 1.0,
        };
        engines_up.push((at.as_secs_f64(), up));
    }
    engines_up
}

/// Maximum work in engine seconds, by earliest deadline first. `jobs` are in order of release.
fn max_work<'a>(jobs: impl Iterator<Item = &'a Job>, engines_up: &[(f64, f64)]) -> f64 {
    let mut jobs = jobs.peekable();
    let mut ready: BinaryHeap<Reverse<(TotalF64, TotalF64)>> = BinaryHeap::new();
    let (mut now, mut done) = (0.0, 0.0);
    loop {
        while let Some(job) = jobs.next_if(|job| job.release <= now) {
            ready.push(Reverse((TotalF64(job.deadline), TotalF64(job.work))));
        }
        let release = jobs.peek().map_or(f64::INFINITY, |job| job.release);
        let Some(Reverse((deadline, work))) = ready.pop() else {
            if release.is_infinite() {
                return done;
            }
            now = release;
            continue;
        };
        if deadline.0 <= now {
            continue;
        }
        let engines = engines_up
            .iter()
            .rfind(|(at, _)| *at <= now)
            .map_or(0.0, |(_, up)| *up);
        let change = engines_up.iter().map(|(at, _)| *at).find(|at| *at > now);
        let end = release.min(deadline.0).min(change.unwrap_or(f64::INFINITY));
        let done_work = work.0.min((end - now) * engines);
        done += done_work;
        if done_work < work.0 {
            now = end;
            ready.push(Reverse((deadline, TotalF64(work.0 - done_work))));
        } else {
            now += done_work / engines;
        }
    }
}

/// Floating-point number with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TotalF64(f64);

impl Eq for TotalF64 {}

impl PartialOrd for TotalF64 {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalF64 {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl UpperBound {
    /// `worth` as a fraction of the bound.
    #[must_use]
    pub fn fraction_reached(&self, worth: u64) -> f64 {
        as_f64(worth) / self.worth.max(f64::MIN_POSITIVE)
    }
}
