use std::time::Instant;

use super::{Outlook, Policy, Reason, Request, Verdict, urgency::Urgency};
use crate::{id::Service, unit::Tokens};

/// Orders requests by their configured rank, and rejects those that even the best endpoint is not
/// expected to answer before the deadline, so that their clients learn at once that they have to come
/// back later. Without this, requests wait in the engines in order of arrival until they are too late,
/// and under overload none is served in time.
#[derive(Debug, Default)]
pub struct Reject {
    urgency: Urgency,
}

impl Policy for Reject {
    fn record(&mut self, request: &Request<'_>, now: Instant) {
        self.urgency.record(request, now);
    }

    fn record_prefill(&mut self, _: &Service, _: Tokens, _: Instant) {}

    fn record_ending(&mut self, _: &Request<'_>, _: bool, _: Instant) {}

    fn rank(&self, request: &Request<'_>, now: Instant) -> u8 {
        self.urgency.rank(request, now)
    }

    fn decide(&mut self, request: &Request<'_>, outlook: Outlook, _: Instant) -> Verdict {
        let excess = outlook.forecast.saturating_sub(request.remaining);
        if !request.is_first || excess.is_zero() {
            return Verdict::Run;
        }
        request.reject(Reason::Deadline, excess)
    }
}
