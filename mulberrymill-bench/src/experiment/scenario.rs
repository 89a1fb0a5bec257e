use std::{fmt, str::FromStr, time::Duration};

use mulberrymill::{
    config::Document,
    unit::{Rate, Tokens},
};
use serde::Serialize;

use super::deployment::{Deployment, as_f64, mean_time};
use crate::load::{self, Arrival, Kind, Mix, Profile};

/// Part of the time of all engines that reviews, checks and verdicts need in the steady state.
const PARTS: [f64; 3] = [0.2, 0.25, 0.2];
/// Calls of the plain service per second.
const CALLS: f64 = 20.0;
/// Engines of a deployment.
const ENGINES: f64 = 9.0;
/// When a flood or fault begins and ends.
const PRESSURE: (Duration, Duration) = (Duration::from_secs(30), Duration::from_secs(90));

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// 65% of the engine time is needed.
    Steady,
    /// The ratio of prompt to output tokens goes from 8:1 to 1:4 and back.
    Shift,
    /// The least urgent class at 5 times the capacity.
    FloodLow,
    /// The most urgent class at 3 times the capacity.
    FloodUrgent,
    /// The flood of the least urgent class while an engine is withdrawn and another one crashes.
    Fault,
    /// Reports lag 5 s and a third of the cache events is lost.
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

    /// Phases: start, ratio of prompt to output tokens.
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
        let found = Self::ALL.into_iter().find(|one| one.as_str() == text);
        found.ok_or_else(|| format!("expected one of {}", Self::ALL.map(Self::as_str).join(", ")))
    }
}

/// A change of an engine, by its position in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It takes no new work.
    Withdraw(usize),
    /// Its streams break and it is down.
    Crash(usize),
    /// It is up again.
    Restart(usize),
}

/// The arrivals and faults of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Its document.
    pub document: Document,
    /// Arrivals in order, with the prompt tokens that all requests of the same kind share.
    pub arrivals: Vec<(Arrival, Tokens)>,
    /// Faults in order.
    pub faults: Vec<(Duration, Fault)>,
    /// Time in which the pressure is on: all of it unless the scenario has a flood.
    pub pressure: (Duration, Duration),
    /// Length of the time in which requests arrive.
    pub length: Duration,
    /// Age of the load reports.
    pub lag: Duration,
}

impl Plan {
    /// Draws a plan. The same seed gives the same plan.
    #[must_use]
    pub fn new(deployment: Deployment, scenario: Scenario, seed: u64) -> Self {
        let document = deployment.document();
        let length = scenario.length();
        let flood = match scenario {
            Scenario::FloodLow | Scenario::Fault => Some((Kind::Review, 5.0)),
            Scenario::FloodUrgent => Some((Kind::Verdict, 3.0)),
            _ => None,
        };
        let mut draw = Draw {
            seed,
            all: Vec::new(),
        };
        let engine_kinds = [Kind::Review, Kind::Check, Kind::Verdict];
        for (kind, part) in engine_kinds.into_iter().zip(PARTS) {
            let profile = deployment.profile(kind, &document);
            let phases = scenario.phases();
            for (index, (from, ratio)) in phases.iter().enumerate() {
                let to = phases.get(index + 1).map_or(length, |(next, _)| *next);
                draw.add(kind, &shifted(&profile, kind, *ratio), part, (*from, to));
            }
            if phases.is_empty() {
                draw.add(kind, &profile, part, (Duration::ZERO, length));
            }
            if let Some((_, factor)) = flood.filter(|(flooding, _)| *flooding == kind) {
                draw.add(kind, &profile, factor - part, PRESSURE);
            }
        }
        let calls = deployment.profile(Kind::Print, &document);
        draw.stream(Kind::Print, &calls, CALLS, (Duration::ZERO, length));
        let second = Duration::from_secs;
        let faults = match scenario {
            Scenario::Fault => vec![
                (second(45), Fault::Withdraw(0)),
                (second(60), Fault::Crash(1)),
                (second(80), Fault::Restart(1)),
            ],
            _ => Vec::new(),
        };
        Self {
            deployment,
            scenario,
            document,
            arrivals: draw.ordered(),
            faults,
            pressure: flood.map_or((Duration::ZERO, length), |_| PRESSURE),
            length,
            lag: if scenario == Scenario::Stale {
                second(5)
            } else {
                Duration::from_millis(500)
            },
        }
    }

    /// Service that a class is guaranteed, as a part of what it asks for in the steady state.
    #[must_use]
    pub fn guaranteed(&self, class: &mulberrymill::id::Class) -> f64 {
        let kinds = [Kind::Review, Kind::Check, Kind::Verdict];
        let index = kinds
            .iter()
            .position(|kind| self.deployment.class(*kind) == *class);
        let part = index.map_or(0.0, |index| PARTS[index]);
        (self.document.classes[class].share.get() / part).min(1.0)
    }
}

/// The profile with another ratio of prompt to output tokens; its rate follows from its engine
/// time. Verdicts keep their size: they are short in both directions and urgent.
fn shifted(profile: &Profile, kind: Kind, ratio: f64) -> Profile {
    if kind == Kind::Verdict {
        return profile.clone();
    }
    // Output costs more than prompt, so an answer of as many tokens would miss its targets.
    let shrink = if ratio > 1.0 { 1.0 } else { 1.0 / 3.0 };
    let total = as_f64(profile.prompt.get() + profile.output.get()) * shrink;
    let tokens = |part: f64| {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "token counts are small and positive"
        )]
        Tokens::new((total * part).max(1.0) as u64)
    };
    Profile {
        prompt: tokens(ratio / (1.0 + ratio)),
        output: tokens(1.0 / (1.0 + ratio)),
        ..profile.clone()
    }
}

/// Streams of arrivals that are merged.
struct Draw {
    seed: u64,
    all: Vec<(Arrival, Tokens)>,
}

impl Draw {
    /// Adds arrivals that need `part` of the time of all engines.
    fn add(&mut self, kind: Kind, profile: &Profile, part: f64, period: (Duration, Duration)) {
        let rate = part * ENGINES / mean_time(profile).as_secs_f64();
        self.stream(kind, profile, rate, period);
    }

    fn stream(
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
            self.all.push((arrival, shared));
        }
    }

    fn ordered(mut self) -> Vec<(Arrival, Tokens)> {
        self.all.sort_by_key(|(arrival, _)| arrival.at);
        for (number, (arrival, _)) in (0..).zip(&mut self.all) {
            arrival.number = number;
        }
        self.all
    }
}
