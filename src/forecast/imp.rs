use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Pace, average::Average};
use crate::{
    directory::{Instance, Stage},
    id::{Endpoint, Service},
    unit::{Rate, Tokens, as_f64},
};

/// Prefill rate assumed for engines that do not prefill at reduced speed, in tokens per second.
const PREFILL_RATE_PRIOR: f64 = 60_000.0;
/// Prefill rate assumed for decode engines, in tokens per second. They prefill in smaller chunks,
/// between the tokens of their streams.
const DECODE_PREFILL_RATE_PRIOR: f64 = 20_000.0;
/// Prompt tokens after which observations of a stage outweigh the assumed rate.
const STAGE_PRIOR: Tokens = Tokens::new(200_000);
/// Prompt tokens after which observations of one engine outweigh the rate of its stage.
const ENGINE_PRIOR: Tokens = Tokens::new(100_000);
/// Observations with fewer prompt tokens say more about the network than about the engine.
const OBSERVED_MIN: Tokens = Tokens::new(1_000);
/// Factor by which an estimated rate may differ from its prior. It bounds the effect of engines that
/// report absurd progress.
const RATE_RANGE: f64 = 8.0;
/// Half-life of observations of the prefill rate.
const RATE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of answers of a plain service after which observations outweigh the assumption that it takes
/// no time.
const SERVICE_PRIOR_ANSWERS: f64 = 5.0;

/// Pause pressure that is assumed without observations.
const PRESSURE_PRIOR: f64 = 0.25;
/// Number of pauses after which observations outweigh the assumed pressure.
const PRESSURE_PRIOR_PAUSES: f64 = 200.0;
/// Upper bound of the pause pressure, reached by streams that pause for twice the target.
const PRESSURE_MAX: f64 = 4.0;
/// Half-life of observed pauses, about the duration of a stream.
const PRESSURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of late streams beside long prefills that is assumed without observations.
const LATE_SHARE_PRIOR: f64 = 0.5;
/// Number of streams after which observations outweigh the assumed share.
const LATE_SHARE_PRIOR_STREAMS: f64 = 20.0;
/// Half-life of observed streams beside long prefills. It outlasts several bursts: placement avoids what
/// would be observed.
const LATE_SHARE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Number of answers after which their delay beyond the forecast is half believed.
const EXCESS_PRIOR_ANSWERS: f64 = 10.0;
/// Bounds of the delay of one answer beyond its forecast, in seconds.
const EXCESS_RANGE: (f64, f64) = (-1.0, 2.0);

/// The time that an engine took to begin its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Prompt tokens to prefill before the answer: the request's own, and those queued before it.
    pub tokens: Tokens,
    /// Time from the selection of the engine to the first byte of its answer.
    pub elapsed: Duration,
}

/// How an answer compares with its forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Prompt tokens to prefill of the request itself.
    pub own: Tokens,
    /// Expected time to the answer, without [`Model::excess`].
    pub forecast: Duration,
}

/// Estimates of engine performance, without I/O or a clock of its own.
///
/// An estimate without observations equals its prior, and returns to it when observations cease.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// Seconds over prompt tokens.
    stages: BTreeMap<(Service, Option<Stage>), Average>,
    /// Seconds over prompt tokens.
    engines: BTreeMap<Endpoint, Average>,
    /// Seconds over rounds of requests, of plain services.
    services: BTreeMap<Service, Average>,
    /// Squared relative pauses over pauses.
    pauses: BTreeMap<Service, Average>,
    /// Late streams over streams, of those that ran beside a long prefill.
    late_streams: BTreeMap<Service, Average>,
    /// Longest pause that the callers of the last stream accepted.
    pause_targets: BTreeMap<Service, Duration>,
    /// Seconds beyond the forecast over answers, by the order of magnitude of the prefill.
    excesses: BTreeMap<(Service, Option<Stage>, u32), Average>,
}

impl Model {
    /// Creates a model without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long a successful answer took to begin.
    pub fn record_prefill(&mut self, instance: &Instance, seen: Observation, now: Instant) {
        if seen.tokens < OBSERVED_MIN {
            return;
        }
        let (seconds, tokens) = (seen.elapsed.as_secs_f64(), as_f64(seen.tokens.get()));
        let stage = (instance.service.clone(), instance.stage);
        let stages = self.stages.entry(stage);
        stages
            .or_insert_with(|| Average::new(RATE_HALF_LIFE, now))
            .add(seconds, tokens, now);
        let engines = self.engines.entry(instance.id.clone());
        engines
            .or_insert_with(|| Average::new(RATE_HALF_LIFE, now))
            .add(seconds, tokens, now);
    }

    /// Records how long a successful answer of a plain service took to begin. `rounds` are the requests
    /// for each slot of the endpoint, this one included, at least 1: slots are used by one request after
    /// the other.
    pub fn record_service_time(
        &mut self,
        service: &Service,
        elapsed: Duration,
        rounds: f64,
        now: Instant,
    ) {
        let services = self.services.entry(service.clone());
        services
            .or_insert_with(|| Average::new(RATE_HALF_LIFE, now))
            .add(elapsed.as_secs_f64(), rounds.max(1.0), now);
    }

    /// Time in which an endpoint of a plain service runs one request; zero without recent observations.
    #[must_use]
    pub fn service_time(&self, service: &Service, now: Instant) -> Duration {
        self.services.get(service).map_or(Duration::ZERO, |seen| {
            Duration::from_secs_f64(seen.ratio(0.0, SERVICE_PRIOR_ANSWERS, now))
        })
    }

    /// Records the pauses of a stream.
    pub fn record_pace(&mut self, service: &Service, pace: Pace, now: Instant) {
        if pace.pauses() > 0 {
            let pauses = self.pauses.entry(service.clone());
            pauses
                .or_insert_with(|| Average::new(PRESSURE_HALF_LIFE, now))
                .add(pace.squares(), f64::from(pace.pauses()), now);
            self.pause_targets.insert(service.clone(), pace.target());
        }
    }

    /// Records whether a stream was late that ran beside a long prefill.
    pub fn record_exposed(&mut self, service: &Service, pace: Pace, now: Instant) {
        if pace.pauses() > 0 {
            let streams = self.late_streams.entry(service.clone());
            streams
                .or_insert_with(|| Average::new(LATE_SHARE_HALF_LIFE, now))
                .add(f64::from(u8::from(pace.is_late())), 1.0, now);
            metrics::gauge!("late_stream_share", "service" => service.to_string())
                .set(self.late_share(service, now));
        }
    }

    /// Records by how much an answer was later than its forecast.
    pub fn record_excess(
        &mut self,
        instance: &Instance,
        expected: Expectation,
        elapsed: Duration,
        now: Instant,
    ) {
        let seconds = elapsed.as_secs_f64() - expected.forecast.as_secs_f64();
        metrics::histogram!("forecast_excess_seconds", "service" => instance.service.to_string())
            .record(seconds.max(0.0));
        let (least, most) = EXCESS_RANGE;
        let excesses = self.excesses.entry(excess_key(instance, expected.own));
        excesses
            .or_insert_with(|| Average::new(RATE_HALF_LIFE, now))
            .add(seconds.clamp(least, most), 1.0, now);
    }

    /// Prompt tokens per second that the engines of a stage prefill, their waiting requests
    /// included.
    #[must_use]
    pub fn stage_rate(&self, service: &Service, stage: Option<Stage>, now: Instant) -> Rate {
        Rate::new(1.0 / self.stage_seconds(service, stage, now))
    }

    /// Prompt tokens per second that an engine prefills, its waiting requests included.
    #[must_use]
    pub fn engine_rate(&self, instance: &Instance, now: Instant) -> Rate {
        let prior = self.stage_seconds(&instance.service, instance.stage, now);
        let seconds = self.engines.get(&instance.id).map_or(prior, |seen| {
            bounded(seen.ratio(prior, as_f64(ENGINE_PRIOR.get()), now), prior)
        });
        Rate::new(1.0 / seconds)
    }

    /// How close the streams of a service come to the longest accepted pause: the mean square of
    /// each pause over its target, from 0 to 4. Around 1, delaying streams further makes them late.
    #[must_use]
    pub fn pause_pressure(&self, service: &Service, now: Instant) -> f64 {
        let pressure = self.pauses.get(service).map_or(PRESSURE_PRIOR, |seen| {
            seen.ratio(PRESSURE_PRIOR, PRESSURE_PRIOR_PAUSES, now)
        });
        pressure.min(PRESSURE_MAX)
    }

    /// Share, from 0 to 1, of the streams beside long prefills that are late.
    #[must_use]
    pub fn late_share(&self, service: &Service, now: Instant) -> f64 {
        let seen = self.late_streams.get(service);
        seen.map_or(LATE_SHARE_PRIOR, |seen| {
            seen.ratio(LATE_SHARE_PRIOR, LATE_SHARE_PRIOR_STREAMS, now)
        })
    }

    /// Longest pause that callers of a service accept; `None` before its first stream.
    #[must_use]
    pub fn pause_target(&self, service: &Service) -> Option<Duration> {
        self.pause_targets.get(service).copied()
    }

    /// Time by which answers of engines of this stage come later than forecast, for requests of about this
    /// size. It covers work of peers that is not known yet, which delays a short prompt by many times its own
    /// work where long ones are prefilled.
    #[must_use]
    pub fn excess(&self, instance: &Instance, own: Tokens, now: Instant) -> Duration {
        let seen = self.excesses.get(&excess_key(instance, own));
        let seconds = seen.map_or(0.0, |seen| seen.ratio(0.0, EXCESS_PRIOR_ANSWERS, now));
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Removes the engines for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&Endpoint) -> bool) {
        self.engines.retain(|endpoint, _| known(endpoint));
    }

    /// Seconds per prompt token at the engines of a stage.
    fn stage_seconds(&self, service: &Service, stage: Option<Stage>, now: Instant) -> f64 {
        let prior = match stage {
            Some(Stage::Decode) => DECODE_PREFILL_RATE_PRIOR.recip(),
            Some(Stage::Prefill) | None => PREFILL_RATE_PRIOR.recip(),
        };
        let seen = self.stages.get(&(service.clone(), stage));
        seen.map_or(prior, |seen| {
            bounded(seen.ratio(prior, as_f64(STAGE_PRIOR.get()), now), prior)
        })
    }
}

/// Groups answers by service, stage and order of magnitude of the prefill (powers of four).
fn excess_key(instance: &Instance, own: Tokens) -> (Service, Option<Stage>, u32) {
    let magnitude = (u64::BITS - own.get().leading_zeros()) / 2;
    (instance.service.clone(), instance.stage, magnitude)
}

fn bounded(estimate: f64, prior: f64) -> f64 {
    estimate.clamp(prior / RATE_RANGE, prior * RATE_RANGE)
}
