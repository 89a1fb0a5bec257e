use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Backlog, Load};
use crate::directory::Instance;

/// Age at which a load report says nothing about the present. Requests last about this long.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which an endpoint gets no requests after it has rejected one. Twice as long after each
/// further rejection.
const FIRST_REST: Duration = Duration::from_millis(250);
/// Longest such time. An engine that changes its stage rejects requests for some seconds.
const LONGEST_REST: Duration = Duration::from_secs(2);

/// An endpoint and what is known of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) instance: Arc<Instance>,
    /// Requests of this process in progress.
    pub(super) own: u32,
    /// Prompt tokens of those that the engine has not read.
    pub(super) unread: Backlog,
    pub(super) report: Option<Report>,
    /// Rejections since it last served a request.
    pub(super) rejections: u32,
    /// Failures since it last served a request.
    pub(super) failures: u32,
    pub(super) rest_until: Option<Instant>,
}

/// The load that an endpoint has reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) load: Load,
    pub(super) at: Instant,
    /// Requests of this process in progress at the time of the report.
    pub(super) own: u32,
}

impl Member {
    /// An endpoint of which nothing else is known.
    pub(super) fn new(instance: Arc<Instance>) -> Self {
        Self {
            instance,
            own: 0,
            unread: Backlog::default(),
            report: None,
            rejections: 0,
            failures: 0,
            rest_until: None,
        }
    }

    pub(super) fn reject(&mut self, now: Instant) {
        let rest = FIRST_REST * (1 << self.rejections.min(4));
        self.rest_until = Some(now + rest.min(LONGEST_REST));
        self.rejections += 1;
    }

    pub(super) fn serve(&mut self) {
        self.rejections = 0;
        self.failures = 0;
        self.rest_until = None;
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Requests of other processes, by a report that is recent enough.
    pub(super) fn others(&self, now: Instant) -> u32 {
        self.recent(now).map_or(0, |report| {
            (report.load.running + report.load.waiting).saturating_sub(report.own)
        })
    }

    /// Requests that wait, by a report that is recent enough.
    pub(super) fn waiting(&self, now: Instant) -> u32 {
        self.recent(now).map_or(0, |report| report.load.waiting)
    }

    fn recent(&self, now: Instant) -> Option<Report> {
        self.report
            .filter(|report| now.saturating_duration_since(report.at) < REPORT_MAX_AGE)
    }
}
