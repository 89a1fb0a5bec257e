use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::{Backlog, Evidence, Load, kv_memory::KvMemory};
use crate::{
    directory::{Instance, Listing},
    notice::{Closure, Standing},
    unit::Slowdown,
};

/// Age from which a load report is ignored, about the duration of a request.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Age from which a reported slowdown is ignored: it changes many times a second.
const SLOWDOWN_MAX_AGE: Duration = Duration::from_secs(1);
/// First backoff of an endpoint that has rejected a request. Each further rejection doubles it.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);
/// First backoff of an endpoint that does not run.
const DOWN_BACKOFF_INITIAL: Duration = Duration::from_millis(500);
/// Longest backoff. An engine that changes its stage rejects requests for some seconds.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// An endpoint and its state in this process.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) instance: Arc<Instance>,
    /// Requests of this process in flight.
    pub(super) in_flight: u32,
    /// Their prompt tokens that wait for prefill.
    pub(super) backlog: Backlog,
    /// Memory that they use.
    pub(super) memory: KvMemory,
    pub(super) report: Option<Report>,
    /// Rejections, and refused connections, since the last request that was served.
    pub(super) rejections: u32,
    /// Failures since the last request that was served.
    pub(super) failures: u32,
    pub(super) backoff_until: Option<Instant>,
    /// When it last began to answer a request.
    pub(super) last_answer: Option<Instant>,
    /// When this process last added a prefill to a backlog that delays the streams there.
    pub(super) crowded_at: Option<Instant>,
    /// What is known of the endpoint, also for requests that are on their way to it.
    evidence: watch::Sender<Evidence>,
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) load: Load,
    pub(super) received_at: Instant,
    /// Requests of this process in flight when the report arrived.
    pub(super) in_flight: u32,
}

impl Member {
    /// A member without requests, failures or a load report.
    pub(super) fn new(instance: Arc<Instance>, closure: Closure) -> Self {
        let listing = Listing::of(&instance);
        Self {
            instance,
            in_flight: 0,
            backlog: Backlog::default(),
            memory: KvMemory::default(),
            report: None,
            rejections: 0,
            failures: 0,
            backoff_until: None,
            last_answer: None,
            crowded_at: None,
            evidence: watch::Sender::new(Evidence {
                listing,
                closure,
                stayed_until: None,
            }),
        }
    }

    pub(super) fn record_rejection(&mut self, now: Instant) {
        let backoff = BACKOFF_INITIAL * (1 << self.rejections.min(4));
        self.backoff_until = Some(now + backoff.min(BACKOFF_MAX));
        self.rejections += 1;
    }

    /// Backs off from an endpoint that does not run, until it may have started again.
    pub(super) fn record_down(&mut self, now: Instant, jitter: f64) {
        let backoff = DOWN_BACKOFF_INITIAL * (1 << self.rejections.min(4));
        let backoff = backoff.min(BACKOFF_MAX).mul_f64(jitter);
        self.backoff_until = self.backoff_until.max(Some(now + backoff));
        self.rejections += 1;
    }

    pub(super) fn record_success(&mut self) {
        self.rejections = 0;
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Sets what the store lists of the same run. It listed the endpoint as before at `listed_at`, the last
    /// time at which it confirmed its list.
    pub(super) fn set_instance(
        &mut self,
        instance: Arc<Instance>,
        listed_at: Option<Instant>,
        now: Instant,
    ) {
        let listing = Listing::of(&instance);
        self.instance = instance;
        self.update(listed_at, now, |evidence| evidence.listing = listing);
    }

    /// Notes that the store does not list the endpoint any more, which it did at `listed_at`.
    pub(super) fn set_removed(&self, listed_at: Option<Instant>, now: Instant) {
        self.update(listed_at, now, |evidence| {
            evidence.listing = Listing::Removed;
        });
    }

    /// Sets what the endpoint has said of itself. The store last confirmed its list at `listed_at`.
    pub(super) fn set_closure(&self, closure: Closure, listed_at: Option<Instant>, now: Instant) {
        self.update(listed_at, now, |evidence| evidence.closure = closure);
    }

    fn update(&self, listed_at: Option<Instant>, now: Instant, change: impl FnOnce(&mut Evidence)) {
        self.evidence.send_modify(|evidence| {
            let was_leaving = evidence.standing(now) == Standing::Leaving;
            change(evidence);
            if !was_leaving {
                evidence.stayed_until = listed_at;
            }
        });
    }

    /// What the endpoint has said of itself.
    pub(super) fn closure(&self) -> Closure {
        self.evidence.borrow().closure
    }

    /// Whether the endpoint may get new requests.
    pub(super) fn standing(&self, now: Instant) -> Standing {
        self.evidence.borrow().standing(now)
    }

    /// Follows what is known of the endpoint.
    pub(super) fn subscribe(&self) -> watch::Receiver<Evidence> {
        self.evidence.subscribe()
    }

    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Requests of peer processes in the last report; 0 if the report is missing or too old.
    pub(super) fn peer_requests(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |report| {
            let requests = report.load.running.saturating_add(report.load.waiting);
            requests.saturating_sub(report.in_flight)
        })
    }

    /// Queued requests in the last report; 0 if the report is missing or too old.
    pub(super) fn queued_requests(&self, now: Instant) -> u32 {
        self.fresh_report(now)
            .map_or(0, |report| report.load.waiting)
    }

    /// Factor by which work takes longer than usual at the endpoint. The last report counts less as it
    /// gets old; without a recent one, the factor is 1.
    pub(super) fn slowdown_factor(&self, now: Instant) -> f64 {
        let slowdown = self.reported_slowdown(now).unwrap_or_default();
        slowdown.factor().powf(self.report_freshness(now))
    }

    /// Slowdown in the last report, unless that is too old.
    pub(super) fn reported_slowdown(&self, now: Instant) -> Option<Slowdown> {
        let report = self.report.filter(|_| self.report_freshness(now) > 0.0);
        report.and_then(|report| report.load.slowdown)
    }

    /// Whether the endpoint reports its slowdown, however old the last report is.
    pub(super) fn reports_slowdown(&self) -> bool {
        self.report
            .is_some_and(|report| report.load.slowdown.is_some())
    }

    /// Requests of peer processes in the last report, less of them as it gets old.
    pub(super) fn recent_peer_requests(&self, now: Instant) -> f64 {
        f64::from(self.peer_requests(now)) * self.report_freshness(now)
    }

    /// How much of the last report still holds of what changes many times a second, from 0 to 1.
    fn report_freshness(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |report| {
            let age = now.saturating_duration_since(report.received_at);
            let left = SLOWDOWN_MAX_AGE.saturating_sub(age);
            left.div_duration_f64(SLOWDOWN_MAX_AGE)
        })
    }

    fn fresh_report(&self, now: Instant) -> Option<Report> {
        self.report
            .filter(|report| now.saturating_duration_since(report.received_at) < REPORT_MAX_AGE)
    }
}

impl Drop for Member {
    /// Withholds the requests that are still on their way to the endpoint. They are ended at once, unless
    /// [`set_removed`](Self::set_removed) has stated how long they may be sent.
    fn drop(&mut self) {
        self.evidence
            .send_modify(|evidence| evidence.listing = Listing::Removed);
    }
}
