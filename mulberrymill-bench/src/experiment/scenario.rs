use std::{fmt, str::FromStr, time::Duration};

use mulberrymill::{
    config::Document,
    unit::{Rate, Tokens},
};
use serde::Serialize;

use super::deployment::{Deployment, as_f64, mean_engine_time};
use crate::load::{self, Arrival, Kind, Mix, Profile};

/// Steady load of reviews, checks and verdicts, as fractions of the time of all engines.
const STEADY_LOADS: [f64; 3] = [0.2, 0.25, 0.2];
/// Rate of the calls of the plain service.
const CALLS_PER_SECOND: f64 = 20.0;
/// Number of engines of each deployment.
pub(super) const ENGINES: u32 = 9;
/// Start and end of a flood, since the start of the run.
const FLOOD_WINDOW: (Duration, Duration) = (Duration::from_secs(30), Duration::from_secs(90));

/// Load and faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Constant load of 65% of the engine time.
    Steady,
    /// Steady load whose ratio of prompt to output tokens changes from 8:1 to 1:4 and back.
    Shift,
    /// Flood of the least urgent class, at 5 times the capacity.
    FloodLow,
    /// Flood of the most urgent class, at 3 times the capacity.
    FloodUrgent,
    /// Flood of the least urgent class, during which an engine is drained and another one crashes.
    Fault,
    /// Steady load with reports delayed by 5 s and a third of the cache events lost.
    Stale,
}

impl Scenario {
    /// All scenarios, in order.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Shift,
        Self::FloodLow,
        Self::FloodUrgent,
        Self::Fault,
        Self::Stale,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::FloodLow => "flood-low",
            Self::FloodUrgent => "flood-urgent",
            Self::Fault => "fault",
            Self::Stale => "stale",
        }
    }

    /// Start times and ratios of prompt to output tokens; empty if the profiles are constant.
    fn phases(self) -> Vec<(Duration, f64)> {
        let phases = [
            (0, 8.0),
            (60, 2.0),
            (80, 1.0),
            (100, 0.25),
            (160, 1.0),
            (180, 8.0),
        ];
        match self {
            Self::Shift => phases
                .map(|(at, ratio)| (Duration::from_secs(at), ratio))
                .into(),
            _ => Vec::new(),
        }
    }

    fn length(self) -> Duration {
        Duration::from_secs(if self == Self::Shift { 240 } else { 120 })
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL
            .into_iter()
            .find(|scenario| scenario.as_str() == text);
        found.ok_or_else(|| format!("expected one of {}", Self::ALL.map(Self::as_str).join(", ")))
    }
}

/// Fault of an engine, which is identified by its index in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine drains and accepts no new requests.
    Drain(usize),
    /// The streams of the engine break, and it is down until [`Fault::Restart`].
    Crash(usize),
    /// The engine is up again.
    Restart(usize),
}

/// Arrivals and faults of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment that the arrivals are for.
    pub deployment: Deployment,
    /// Scenario that the arrivals and faults follow.
    pub scenario: Scenario,
    /// Configuration document of the deployment.
    pub document: Document,
    /// Arrivals in order of time, with the number of prompt tokens that all requests of the same
    /// kind share.
    pub arrivals: Vec<(Arrival, Tokens)>,
    /// Faults in order of time.
    pub faults: Vec<(Duration, Fault)>,
    /// Window for [`super::ClassFigures::kept`]: the flood, or the whole run without one.
    pub flood_window: (Duration, Duration),
    /// Time during which requests arrive.
    pub length: Duration,
    /// Delay of load reports and cache events.
    pub report_delay: Duration,
}

impl Plan {
    /// Generates a plan. The same seed gives the same plan.
    #[must_use]
    pub fn new(deployment: Deployment, scenario: Scenario, seed: u64) -> Self {
        let document = deployment.document();
        let length = scenario.length();
        let flood = match scenario {
            Scenario::FloodLow | Scenario::Fault => Some((Kind::Review, 5.0)),
            Scenario::FloodUrgent => Some((Kind::Verdict, 3.0)),
            _ => None,
        };
        let mut generator = ArrivalGenerator {
            seed,
            arrivals: Vec::new(),
        };
        let engine_kinds = [Kind::Review, Kind::Check, Kind::Verdict];
        for (kind, load) in engine_kinds.into_iter().zip(STEADY_LOADS) {
            let profile = deployment.profile(kind, &document);
            let phases = scenario.phases();
            for (index, (from, ratio)) in phases.iter().enumerate() {
                let to = phases.get(index + 1).map_or(length, |(next, _)| *next);
                generator.add_load(
                    kind,
                    &with_token_ratio(&profile, kind, *ratio),
                    load,
                    (*from, to),
                );
            }
            if phases.is_empty() {
                generator.add_load(kind, &profile, load, (Duration::ZERO, length));
            }
            if let Some((_, factor)) = flood.filter(|(flood_kind, _)| *flood_kind == kind) {
                generator.add_load(kind, &profile, factor - load, FLOOD_WINDOW);
            }
        }
        let calls = deployment.profile(Kind::Print, &document);
        generator.add_arrivals(
            Kind::Print,
            &calls,
            CALLS_PER_SECOND,
            (Duration::ZERO, length),
        );
        let second = Duration::from_secs;
        let faults = match scenario {
            Scenario::Fault => vec![
                (second(45), Fault::Drain(0)),
                (second(60), Fault::Crash(1)),
                (second(80), Fault::Restart(1)),
            ],
            _ => Vec::new(),
        };
        Self {
            deployment,
            scenario,
            document,
            arrivals: generator.into_arrivals(),
            faults,
            flood_window: flood.map_or((Duration::ZERO, length), |_| FLOOD_WINDOW),
            length,
            report_delay: if scenario == Scenario::Stale {
                second(5)
            } else {
                Duration::from_millis(500)
            },
        }
    }

    /// Service guaranteed to a class by its share, as a fraction of its steady load, up to 1.
    #[must_use]
    pub fn guaranteed(&self, class: &mulberrymill::id::Class) -> f64 {
        let kinds = [Kind::Review, Kind::Check, Kind::Verdict];
        let index = kinds
            .iter()
            .position(|kind| self.deployment.class(*kind) == *class);
        let load = index.map_or(0.0, |index| STEADY_LOADS[index]);
        (self.document.classes[class].share.get() / load).min(1.0)
    }
}

/// Profile with another ratio of prompt to output tokens. The rate of its requests follows from
/// their engine time. Verdicts are unchanged: they are urgent, and their prompts and answers short.
fn with_token_ratio(profile: &Profile, kind: Kind, ratio: f64) -> Profile {
    if kind == Kind::Verdict {
        return profile.clone();
    }
    // A token of output takes longer than one of prompt, so that an answer would miss its targets
    // with as many tokens.
    let scale = if ratio > 1.0 { 1.0 } else { 1.0 / 3.0 };
    let total = as_f64(profile.prompt.get() + profile.output.get()) * scale;
    let tokens = |fraction: f64| {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "token counts are small and positive"
        )]
        Tokens::new((total * fraction).max(1.0) as u64)
    };
    Profile {
        prompt: tokens(ratio / (1.0 + ratio)),
        output: tokens(1.0 / (1.0 + ratio)),
        ..profile.clone()
    }
}

/// Merges independent Poisson processes of arrivals.
struct ArrivalGenerator {
    seed: u64,
    arrivals: Vec<(Arrival, Tokens)>,
}

impl ArrivalGenerator {
    /// Adds arrivals that take the fraction `load` of the time of all engines.
    fn add_load(&mut self, kind: Kind, profile: &Profile, load: f64, window: (Duration, Duration)) {
        let rate = load * f64::from(ENGINES) / mean_engine_time(profile).as_secs_f64();
        self.add_arrivals(kind, profile, rate, window);
    }

    /// Adds arrivals at `rate` per second.
    fn add_arrivals(
        &mut self,
        kind: Kind,
        profile: &Profile,
        rate: f64,
        (from, to): (Duration, Duration),
    ) {
        let mut mix = Mix {
            weights: [0.0; 4],
            ..Mix::default()
        };
        mix.weights[kind as usize] = 1.0;
        mix.profiles[kind as usize] = profile.clone();
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let plan = load::Plan::new(self.seed, Rate::new(rate), vec![mix]);
        let shared = Tokens::new(profile.prompt.get() / 2);
        for mut arrival in plan {
            arrival.at += from;
            if arrival.at >= to {
                return;
            }
            self.arrivals.push((arrival, shared));
        }
    }

    /// Returns the arrivals in order of time, numbered from 0.
    fn into_arrivals(mut self) -> Vec<(Arrival, Tokens)> {
        self.arrivals.sort_by_key(|(arrival, _)| arrival.at);
        for (number, (arrival, _)) in (0..).zip(&mut self.arrivals) {
            arrival.number = number;
        }
        self.arrivals
    }
}
