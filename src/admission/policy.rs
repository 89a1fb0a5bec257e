use std::{
    fmt,
    time::{Duration, Instant},
};

use crate::unit::{Share, Worth};

/// One class in one pool, as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Lane {
    /// Order of urgency: 1 is the most urgent.
    pub rank: u8,
    /// Guaranteed share of the pool.
    pub share: Share,
    /// Worth of one answer.
    pub worth: Worth,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Arrival of the first request that waits.
    pub oldest: Option<Instant>,
    /// Observed mean time that a request holds a slot; zero if none has ended yet.
    pub service: Duration,
}

impl Lane {
    fn guaranteed(&self, limit: u32) -> f64 {
        self.share.get() * f64::from(limit)
    }

    fn wanted(&self) -> f64 {
        f64::from(self.running) + f64::from(self.queued)
    }

    fn density(&self) -> f64 {
        f64::from(self.worth.get()) / self.service.as_secs_f64().max(0.001)
    }
}

/// Part of the idle shares of more urgent classes that [`Adaptive`] does not lend. Measured in
/// `docs/policy.md`.
const KEPT: f64 = 0.75;

/// Decides which class starts next in a pool.
pub trait Policy: fmt::Debug + Send {
    /// Index of the lane whose first request takes a free slot. `limit` is the number of slots.
    fn next(&self, lanes: &[Lane], limit: u32) -> Option<usize>;

    /// Expected wait of one more request at the end of the lane with an index.
    fn wait(&self, lanes: &[Lane], index: usize, limit: u32) -> Duration;

    /// Whether classes are limited by the time that their requests take in an endpoint, and a
    /// part of the target of the first token is left for the engine.
    fn adapts(&self) -> bool {
        false
    }
}

/// Time until `ahead` requests and one more have started on `slots` slots.
fn drain(ahead: f64, service: Duration, slots: f64) -> Duration {
    let seconds = (ahead + 1.0) * service.as_secs_f64() / slots.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn is_full(lanes: &[Lane], limit: u32) -> bool {
    lanes.iter().map(Lane::wanted).sum::<f64>() >= f64::from(limit)
}

fn waiting(lanes: &[Lane]) -> impl Iterator<Item = (usize, &Lane)> {
    lanes.iter().enumerate().filter(|(_, lane)| lane.queued > 0)
}

/// Starts requests in the order of arrival. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl Policy for Fifo {
    fn next(&self, lanes: &[Lane], _limit: u32) -> Option<usize> {
        let first = waiting(lanes).min_by_key(|(_, lane)| lane.oldest);
        first.map(|(index, _)| index)
    }

    fn wait(&self, lanes: &[Lane], _index: usize, limit: u32) -> Duration {
        if !is_full(lanes, limit) {
            return Duration::ZERO;
        }
        let work = lanes
            .iter()
            .map(|lane| lane.service.as_secs_f64() * f64::from(lane.queued))
            .sum::<f64>();
        Duration::try_from_secs_f64(work / f64::from(limit)).unwrap_or(Duration::MAX)
    }
}

/// Starts the most urgent class first, whatever the others wait for. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct StrictPriority;

impl Policy for StrictPriority {
    fn next(&self, lanes: &[Lane], _limit: u32) -> Option<usize> {
        let first = waiting(lanes).min_by_key(|(_, lane)| lane.rank);
        first.map(|(index, _)| index)
    }

    fn wait(&self, lanes: &[Lane], index: usize, limit: u32) -> Duration {
        if !is_full(lanes, limit) {
            return Duration::ZERO;
        }
        let own = &lanes[index];
        let urgent = lanes.iter().filter(|lane| lane.rank < own.rank);
        let taken = urgent.map(Lane::wanted).sum::<f64>();
        let slots = f64::from(limit) - taken;
        drain(f64::from(own.queued), own.service, slots.max(0.0))
    }
}

/// Guarantees each class its share and lends what is idle.
///
/// A free slot goes to the most urgent class below its share. If none is below, it goes to the
/// most urgent class that waits, because the others already have what they were promised, and
/// among equals to the one with the most worth per second of a slot. A lent slot returns at its
/// next end: requests that run are never interrupted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares;

impl Policy for Shares {
    fn next(&self, lanes: &[Lane], limit: u32) -> Option<usize> {
        let below = |lane: &Lane| f64::from(lane.running) < lane.guaranteed(limit);
        let first = waiting(lanes).min_by(|(_, a), (_, b)| {
            let urgency = (!below(a), a.rank).cmp(&(!below(b), b.rank));
            urgency.then(b.density().total_cmp(&a.density()))
        });
        first.map(|(index, _)| index)
    }

    fn wait(&self, lanes: &[Lane], index: usize, limit: u32) -> Duration {
        if !is_full(lanes, limit) {
            return Duration::ZERO;
        }
        let own = &lanes[index];
        let others = lanes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let taken = others
            .map(|(_, lane)| {
                let promised = lane.guaranteed(limit);
                let most = if lane.rank < own.rank {
                    f64::from(limit)
                } else {
                    promised
                };
                lane.wanted().min(most)
            })
            .sum::<f64>();
        let slots = (f64::from(limit) - taken).max(own.guaranteed(limit));
        drain(f64::from(own.queued), own.service, slots)
    }
}

/// As [`Shares`], but limits classes by the time that their requests take in the engines, and does
/// not lend all idle slots.
///
/// A lent slot returns only at the end of its request, so a class above its share leaves a part of
/// the idle shares of more urgent classes free. This policy is not work-conserving in slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct Adaptive;

impl Policy for Adaptive {
    fn adapts(&self) -> bool {
        true
    }

    fn next(&self, lanes: &[Lane], limit: u32) -> Option<usize> {
        let below = |lane: &Lane| f64::from(lane.running) < lane.guaranteed(limit);
        let running: f64 = lanes.iter().map(|lane| f64::from(lane.running)).sum();
        let free = f64::from(limit) - running;
        let idle = |lane: &Lane| (lane.guaranteed(limit) - f64::from(lane.running)).max(0.0);
        let kept = |own: &Lane| {
            let urgent = lanes.iter().filter(|lane| lane.rank < own.rank);
            urgent.map(idle).sum::<f64>() * KEPT
        };
        let may_start = |lane: &Lane| below(lane) || free - kept(lane) >= 1.0;
        let able = waiting(lanes).filter(|(_, lane)| may_start(lane));
        let first = able.min_by(|(_, a), (_, b)| {
            let urgency = (!below(a), a.rank).cmp(&(!below(b), b.rank));
            urgency.then(b.density().total_cmp(&a.density()))
        });
        first.map(|(index, _)| index)
    }

    fn wait(&self, lanes: &[Lane], index: usize, limit: u32) -> Duration {
        Shares.wait(lanes, index, limit)
    }
}
