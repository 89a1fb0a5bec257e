use std::time::{Duration, Instant};

use super::Demand;
use crate::forecast::Model;

/// Part of the longest accepted pause that prefills may take between two events of a stream. The rest is
/// for the decode steps between them, which the prefills stretch, and for the network.
const PREFILL_PAUSE_FRACTION: f64 = 0.4;
/// Backlog at which all streams are at risk, as a multiple of the harmless one.
const RISK_SPAN: f64 = 0.5;
/// Part of the latency target from which on a forecast is expected to miss it: forecasts err.
const TARGET_FRACTION: f64 = 0.7;
/// Cost of one late request or stream, in the time that other costs are counted in. It exceeds any wait that
/// still is in time.
const LATE: Duration = Duration::from_secs(2);
/// Share of late streams beside long prefills up to which decode engines keep shared prefixes.
const HOME_RISK_MAX: f64 = 0.25;

/// What a placement costs in requests and streams that become late by it.
///
/// A long prompt that waits at a prefill engine can still be in time, while at a decode engine it makes all
/// streams late that run there: prefills take turns with decode steps. Applies to requests of customers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lateness {
    target: Duration,
    /// Time that prefills may take beside a stream; `None` while no stream has been seen.
    harmless_prefill: Option<Duration>,
    /// Share of streams beside longer prefills that are late.
    late_share: f64,
}

impl Lateness {
    /// `None` for a request without a customer, whose placements are compared by time alone. The rank of a
    /// customer replaces that of the route, so only the target distinguishes kinds of request then.
    pub(super) fn new(model: &Model, demand: &Demand, now: Instant) -> Option<Self> {
        let harmless = model.pause_target(&demand.service);
        demand.customer.as_ref().map(|_| Self {
            target: demand.latency_target.saturating_sub(demand.waited),
            harmless_prefill: harmless.map(|pause| pause.mul_f64(PREFILL_PAUSE_FRACTION)),
            late_share: model.late_share(&demand.service, now),
        })
    }

    /// Whether decode engines keep shared prefixes, and so prefill the long prompts that have them.
    pub(super) fn allows_decode_homes(&self) -> bool {
        self.late_share < HOME_RISK_MAX
    }

    /// Whether prefills of this length delay the streams of their engine.
    pub(super) fn delays_streams(&self, prefill: Duration) -> bool {
        self.harmless_prefill
            .is_some_and(|harmless| prefill > harmless)
    }

    /// Cost of a request that is answered after `forecast`.
    pub(super) fn of_request(&self, forecast: Duration) -> Duration {
        let part = forecast.as_secs_f64() / self.target.as_secs_f64().max(f64::MIN_POSITIVE);
        LATE.mul_f64(((part - TARGET_FRACTION) / (1.0 - TARGET_FRACTION)).clamp(0.0, 1.0))
    }

    /// Cost of a prefill of length `own` behind others of length `queued`, for the `streams` that run there
    /// and for that of the request itself.
    pub(super) fn of_streams(&self, streams: f64, queued: Duration, own: Duration) -> Duration {
        let before = self.risk(queued);
        let after = self.risk(queued + own);
        LATE.mul_f64(streams * (after - before) + before)
    }

    /// Probability that a stream is late beside prefills of this length.
    fn risk(&self, prefill: Duration) -> f64 {
        self.harmless_prefill.map_or(0.0, |harmless| {
            let excess = prefill.saturating_sub(harmless).as_secs_f64();
            let span = harmless.as_secs_f64() * RISK_SPAN;
            (excess / span.max(f64::MIN_POSITIVE)).min(1.0) * self.late_share
        })
    }
}
