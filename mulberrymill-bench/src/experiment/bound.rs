use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use mulberrymill::unit::Tokens;

use super::{
    deployment::{as_f64, engine_time},
    scenario::{Fault, Plan},
};
use crate::load::{Arrival, Kind};

/// Classes of worth per second of an engine; neighbours differ by this factor.
const FACTOR: f64 = 1.1;

/// Most worth that any policy can reach.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Limit {
    /// Worth.
    pub worth: f64,
    /// Worth of all requests.
    pub offered: f64,
}

/// Work that may be done between its release and its deadline.
#[derive(Clone, Copy, Debug)]
struct Job {
    release: f64,
    deadline: f64,
    work: f64,
    density: i32,
}

/// Computes an upper bound on the worth with full knowledge of the arrivals.
///
/// Every request needs at least the engine time of its prompt without the part that all requests
/// of its kind share, and of its tokens in a full batch. The bound lets all engines that are up
/// work on any request in any order, split it freely, count a part of an answer as that part of its
/// worth, and ignores the targets other than the one for the whole answer, whose deadline no good
/// answer exceeds. Each of these only raises the worth, so no policy gets more. Under them the sets
/// of work that can be done form a polymatroid: the best worth takes the requests in order of worth
/// per engine second, and the work done for the first `k` groups in this order is the most that is
/// possible for them, which earliest-deadline-first achieves. Requests are grouped by worth per
/// second in steps of 10%, and each group counts with its largest value.
#[must_use]
pub fn bound(plan: &Plan) -> Limit {
    let mut jobs: Vec<Job> = Vec::new();
    let mut limit = Limit::default();
    for (arrival, shared) in &plan.arrivals {
        let spec = &plan.document.classes[&arrival.class];
        let worth = f64::from(spec.worth.get());
        limit.offered += worth;
        if arrival.kind == Kind::Print {
            // Calls do not use the engines.
            limit.worth += worth;
            continue;
        }
        let work = least(arrival, *shared).as_secs_f64();
        #[expect(clippy::cast_possible_truncation, reason = "logarithms are small")]
        let density = ((worth / work).ln() / FACTOR.ln()).ceil() as i32;
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
    let speeds = speeds(plan);
    let mut before = 0.0;
    for density in densities {
        let most = most_work(jobs.iter().filter(|job| job.density >= density), &speeds);
        limit.worth += (most - before) * FACTOR.powi(density);
        before = most;
    }
    limit.worth = limit.worth.min(limit.offered);
    limit
}

fn least(arrival: &Arrival, shared: Tokens) -> Duration {
    engine_time(
        crate::engine::tokens(&arrival.prompt),
        shared,
        arrival.output,
    )
}

/// Engines that are up, from each time on.
fn speeds(plan: &Plan) -> Vec<(f64, f64)> {
    let mut speeds = vec![(0.0, 9.0)];
    let mut up = 9.0;
    for (at, fault) in &plan.faults {
        up += match fault {
            // It still finishes what it has begun, which the bound allows to be anything.
            Fault::Withdraw(_) => 0.0,
            Fault::Crash(_) => -1.0,
            Fault::Restart(_) => 1.0,
        };
        speeds.push((at.as_secs_f64(), up));
    }
    speeds
}

/// Most work that can be done, by earliest deadline first. The jobs are in order of release.
fn most_work<'a>(jobs: impl Iterator<Item = &'a Job>, speeds: &[(f64, f64)]) -> f64 {
    let mut jobs = jobs.peekable();
    let mut ready: BinaryHeap<Reverse<(Order, Order)>> = BinaryHeap::new();
    let (mut now, mut done) = (0.0, 0.0);
    loop {
        while let Some(job) = jobs.next_if(|job| job.release <= now) {
            ready.push(Reverse((Order(job.deadline), Order(job.work))));
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
        let speed = speeds
            .iter()
            .rfind(|(at, _)| *at <= now)
            .map_or(0.0, |(_, up)| *up);
        let change = speeds.iter().map(|(at, _)| *at).find(|at| *at > now);
        let end = release.min(deadline.0).min(change.unwrap_or(f64::INFINITY));
        let part = work.0.min((end - now) * speed);
        done += part;
        if part < work.0 {
            now = end;
            ready.push(Reverse((deadline, Order(work.0 - part))));
        } else {
            now += part / speed;
        }
    }
}

/// A number with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Order(f64);

impl Eq for Order {}

impl PartialOrd for Order {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Order {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Limit {
    /// Part of the bound that a worth reaches.
    #[must_use]
    pub fn reached(&self, worth: u64) -> f64 {
        as_f64(worth) / self.worth.max(f64::MIN_POSITIVE)
    }
}
