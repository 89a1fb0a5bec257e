use std::time::{Duration, Instant};

use tokio::{sync::watch, time};

use crate::{clock::Clock, route::Kind};

/// Part of the grace period that is kept for answers to requests that have not ended by themselves.
const RESERVE: Duration = Duration::from_millis(500);
/// Time after the last deadline until requests in progress are cut: an endpoint may still answer.
const CUT_DELAY: Duration = Duration::from_millis(150);
/// Time in which the answers to requests that were cut are written.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// Part of its time that a request has to have left before the end of the stop, if it comes while the
/// load balancer still sends.
const EARLY_TIME_FRACTION: f64 = 0.5;

/// The moments of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    accept_until: Instant,
    end: Instant,
}

impl Schedule {
    /// The stop that begins now, in a process that is killed after `grace`. The load balancer may
    /// send requests for `delay`.
    #[must_use]
    pub fn new(now: Instant, delay: Duration, grace: Duration) -> Self {
        let end = now + grace.saturating_sub(RESERVE);
        Self {
            accept_until: (now + delay).min(end),
            end,
        }
    }

    /// When connections are no longer accepted.
    #[must_use]
    pub const fn accept_until(&self) -> Instant {
        self.accept_until
    }

    /// When requests in progress are cut.
    #[must_use]
    pub fn cut_at(&self) -> Instant {
        self.end + CUT_DELAY
    }

    /// When the process ends, at the latest.
    #[must_use]
    pub fn exit_at(&self) -> Instant {
        self.cut_at() + FLUSH_TIME
    }

    /// Decides about a request that has been received during the stop and has to be answered by
    /// `deadline`. Returns the deadline to observe instead, or `None` if the request is refused.
    ///
    /// A request is taken if all of its time lies before the end of the stop. While the load balancer
    /// still sends, part of its time is enough for one whose answer is a stream or that may run again;
    /// any other request needs all of its time, since a lost answer leaves unknown whether it has run.
    #[must_use]
    pub fn admit(&self, now: Instant, deadline: Instant, kind: Kind) -> Option<Instant> {
        let wanted = deadline.saturating_duration_since(now);
        let needed = if now < self.accept_until && kind != Kind::NonIdempotent {
            wanted.mul_f64(EARLY_TIME_FRACTION)
        } else {
            wanted
        };
        let left = self.end.saturating_duration_since(now);
        (needed <= left).then(|| deadline.min(self.end))
    }
}

/// Begins a stop.
#[derive(Debug)]
pub struct Trigger(watch::Sender<Option<Schedule>>);

impl Trigger {
    /// Tells every [`Watch`] that the stop has begun.
    pub fn begin(&self, schedule: Schedule) {
        self.0.send_replace(Some(schedule));
    }
}

/// Follows whether the process stops. The default one never does.
#[derive(Clone, Debug)]
pub struct Watch(watch::Receiver<Option<Schedule>>);

impl Default for Watch {
    fn default() -> Self {
        Self(watch::channel(None).1)
    }
}

impl Watch {
    /// The stop in progress, if there is one.
    #[must_use]
    pub fn schedule(&self) -> Option<Schedule> {
        *self.0.borrow()
    }

    /// Waits until requests in progress are cut.
    pub async fn cut(mut self, clock: &dyn Clock) {
        let begun = self.0.wait_for(Option::is_some).await.map(|begun| *begun);
        let Ok(Some(schedule)) = begun else {
            // Without a trigger there is no stop.
            return std::future::pending().await;
        };
        let left = schedule.cut_at().saturating_duration_since(clock.now());
        time::sleep(left).await;
    }
}

/// Creates a trigger and the watch that follows it.
#[must_use]
pub fn channel() -> (Trigger, Watch) {
    let (sender, receiver) = watch::channel(None);
    (Trigger(sender), Watch(receiver))
}
