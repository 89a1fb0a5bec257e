use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::{Backlog, Load};
use crate::{directory::Instance, notice::Closure};

/// Age from which a load report is ignored, about the duration of a request.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
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
    pub(super) report: Option<Report>,
    /// Rejections, and refused connections, since the last request that was served.
    pub(super) rejections: u32,
    /// Failures since the last request that was served.
    pub(super) failures: u32,
    pub(super) backoff_until: Option<Instant>,
    /// When it last began to answer a request.
    pub(super) last_answer: Option<Instant>,
    /// What the endpoint has said of itself, for requests that are on their way to it.
    pub(super) closure: watch::Sender<Closure>,
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
        Self {
            instance,
            in_flight: 0,
            backlog: Backlog::default(),
            report: None,
            rejections: 0,
            failures: 0,
            backoff_until: None,
            last_answer: None,
            closure: watch::Sender::new(closure),
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

    pub(super) fn closure(&self) -> Closure {
        *self.closure.borrow()
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

    fn fresh_report(&self, now: Instant) -> Option<Report> {
        self.report
            .filter(|report| now.saturating_duration_since(report.received_at) < REPORT_MAX_AGE)
    }
}
