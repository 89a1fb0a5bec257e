use std::{
    fmt,
    time::{Duration, Instant},
};

use crate::unit::{Share, Worth};

/// Load of one class in one pool: the input of a [`Policy`].
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// Rank by urgency; 1 is the most urgent.
    pub rank: u8,
    /// Guaranteed share of the slots of the pool.
    pub share: Share,
    /// Configured worth of one answer; breaks ties between classes of the same rank.
    pub worth: Worth,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Arrival of the request at the head of the queue.
    pub oldest: Option<Instant>,
    /// Moving average of the time that a request holds a slot; zero before the first one ends.
    pub service: Duration,
}

impl ClassLoad {
    fn guaranteed(&self, limit: u32) -> f64 {
        self.share.get() * f64::from(limit)
    }

    fn demand(&self) -> f64 {
        f64::from(self.running) + f64::from(self.queued)
    }

    fn worth_per_second(&self) -> f64 {
        f64::from(self.worth.get()) / self.service.as_secs_f64().max(0.001)
    }
}

/// Fraction of the idle shares of more urgent classes that [`Adaptive`] does not lend.
const RESERVED_FRACTION: f64 = 0.75;

/// Decides which class starts its next request in a pool.
pub trait Policy: fmt::Debug + Send {
    /// Index of the class whose first queued request takes a free slot, if any may start. `limit`
    /// is the number of requests that may run in the pool.
    fn next_class(&self, loads: &[ClassLoad], limit: u32) -> Option<usize>;

    /// Expected time in the queue of one more request of the class at `index`.
    fn expected_wait(&self, loads: &[ClassLoad], index: usize, limit: u32) -> Duration;

    /// Whether the concurrency of a class adapts to the time that its requests take at an endpoint,
    /// and a part of the first-token target is left for the engine. Off by default.
    fn adapts_concurrency(&self) -> bool {
        false
    }
}

/// Time until `ahead` requests and one more have started on `slots` slots.
fn queueing_delay(ahead: f64, service: Duration, slots: f64) -> Duration {
    let seconds = (ahead + 1.0) * service.as_secs_f64() / slots.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn is_full(loads: &[ClassLoad], limit: u32) -> bool {
    loads.iter().map(ClassLoad::demand).sum::<f64>() >= f64::from(limit)
}

fn queued_classes(loads: &[ClassLoad]) -> impl Iterator<Item = (usize, &ClassLoad)> {
    loads.iter().enumerate().filter(|(_, load)| load.queued > 0)
}

/// Starts requests in order of arrival. A baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl Policy for Fifo {
    fn next_class(&self, loads: &[ClassLoad], _limit: u32) -> Option<usize> {
        let first = queued_classes(loads).min_by_key(|(_, load)| load.oldest);
        first.map(|(index, _)| index)
    }

    fn expected_wait(&self, loads: &[ClassLoad], _index: usize, limit: u32) -> Duration {
        if !is_full(loads, limit) {
            return Duration::ZERO;
        }
        let work = loads
            .iter()
            .map(|load| load.service.as_secs_f64() * f64::from(load.queued))
            .sum::<f64>();
        Duration::try_from_secs_f64(work / f64::from(limit)).unwrap_or(Duration::MAX)
    }
}

/// Always starts the most urgent class first, so that others can starve. A baseline for
/// comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct StrictPriority;

impl Policy for StrictPriority {
    fn next_class(&self, loads: &[ClassLoad], _limit: u32) -> Option<usize> {
        let first = queued_classes(loads).min_by_key(|(_, load)| load.rank);
        first.map(|(index, _)| index)
    }

    fn expected_wait(&self, loads: &[ClassLoad], index: usize, limit: u32) -> Duration {
        if !is_full(loads, limit) {
            return Duration::ZERO;
        }
        let own = &loads[index];
        let urgent = loads.iter().filter(|load| load.rank < own.rank);
        let taken = urgent.map(ClassLoad::demand).sum::<f64>();
        let slots = f64::from(limit) - taken;
        queueing_delay(f64::from(own.queued), own.service, slots.max(0.0))
    }
}

/// Guarantees each class its share of the slots and lends idle ones to other classes.
///
/// A free slot goes to the most urgent class below its share. If no class with a queue is below its
/// share, all guarantees are met, and the slot goes to the most urgent class with a queue. Among
/// equal ranks, it goes to the class with the most worth per slot second. A lent slot returns when
/// its request ends, because running requests are not preempted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares;

impl Policy for Shares {
    fn next_class(&self, loads: &[ClassLoad], limit: u32) -> Option<usize> {
        let below = |load: &ClassLoad| f64::from(load.running) < load.guaranteed(limit);
        let first = queued_classes(loads).min_by(|(_, a), (_, b)| {
            let urgency = (!below(a), a.rank).cmp(&(!below(b), b.rank));
            urgency.then(b.worth_per_second().total_cmp(&a.worth_per_second()))
        });
        first.map(|(index, _)| index)
    }

    fn expected_wait(&self, loads: &[ClassLoad], index: usize, limit: u32) -> Duration {
        if !is_full(loads, limit) {
            return Duration::ZERO;
        }
        let own = &loads[index];
        let others = loads
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let taken = others
            .map(|(_, load)| {
                let guaranteed = load.guaranteed(limit);
                let most = if load.rank < own.rank {
                    f64::from(limit)
                } else {
                    guaranteed
                };
                load.demand().min(most)
            })
            .sum::<f64>();
        let slots = (f64::from(limit) - taken).max(own.guaranteed(limit));
        queueing_delay(f64::from(own.queued), own.service, slots)
    }
}

/// Like [`Shares`], with adaptive concurrency per class and a reserve of idle slots.
///
/// A lent slot returns only when its request ends, so a class above its share leaves a fraction of
/// the idle shares of more urgent classes free. This policy is not work-conserving in slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct Adaptive;

impl Policy for Adaptive {
    fn adapts_concurrency(&self) -> bool {
        true
    }

    fn next_class(&self, loads: &[ClassLoad], limit: u32) -> Option<usize> {
        let below = |load: &ClassLoad| f64::from(load.running) < load.guaranteed(limit);
        let running: f64 = loads.iter().map(|load| f64::from(load.running)).sum();
        let free = f64::from(limit) - running;
        let idle = |load: &ClassLoad| (load.guaranteed(limit) - f64::from(load.running)).max(0.0);
        let reserved = |own: &ClassLoad| {
            let urgent = loads.iter().filter(|load| load.rank < own.rank);
            urgent.map(idle).sum::<f64>() * RESERVED_FRACTION
        };
        let may_start = |load: &ClassLoad| below(load) || free - reserved(load) >= 1.0;
        let eligible = queued_classes(loads).filter(|(_, load)| may_start(load));
        let first = eligible.min_by(|(_, a), (_, b)| {
            let urgency = (!below(a), a.rank).cmp(&(!below(b), b.rank));
            urgency.then(b.worth_per_second().total_cmp(&a.worth_per_second()))
        });
        first.map(|(index, _)| index)
    }

    fn expected_wait(&self, loads: &[ClassLoad], index: usize, limit: u32) -> Duration {
        Shares.expected_wait(loads, index, limit)
    }
}
