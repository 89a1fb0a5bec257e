use std::{
    fmt::{self, Write},
    str::FromStr,
    time::Duration,
};

use mulberrymill::{
    id,
    unit::{Rate, Tokens},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use crate::engine::TOKEN_BYTES;

/// Kinds of request in the mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Menu review: long prompt, short to medium answer.
    Review,
    /// Ingredient check.
    Check,
    /// Verdict: short answer, most urgent.
    Verdict,
    /// Print order: an operation of a plain service that must run at most once.
    Print,
}

impl Kind {
    /// All kinds, in the order of the weights.
    pub const ALL: [Self; 4] = [Self::Review, Self::Check, Self::Verdict, Self::Print];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Review => "review",
            Self::Check => "check",
            Self::Verdict => "verdict",
            Self::Print => "print",
        })
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or_else(|| "expected review, check, verdict or print".to_owned())
    }
}

/// What requests of a kind look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Class sent as `service_tier`.
    pub class: id::Class,
    /// Mean prompt length; lengths vary evenly from half to one and a half of it.
    pub prompt: Tokens,
    /// Mean answer length, varied in the same way.
    pub output: Tokens,
    /// Target for the whole answer.
    pub target: Duration,
}

/// Profile and weight of each kind, in the order of [`Kind::ALL`], from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Start, counted from the start of the run.
    pub from: Duration,
    /// Weights; their sum need not be 1.
    pub weights: [f64; 4],
    /// Profiles.
    pub profiles: [Profile; 4],
}

impl Default for Mix {
    fn default() -> Self {
        let profile = |class: &str, prompt, output, seconds| Profile {
            class: class.parse().expect("the built-in class names are valid"),
            prompt: Tokens::new(prompt),
            output: Tokens::new(output),
            target: Duration::from_secs(seconds),
        };
        Self {
            from: Duration::ZERO,
            weights: [0.2, 0.4, 0.3, 0.1],
            profiles: [
                profile("review", 2_000, 150, 30),
                profile("check", 200, 60, 10),
                profile("verdict", 100, 4, 2),
                profile("verdict", 1, 1, 2),
            ],
        }
    }
}

/// A request and when it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Position in the plan, from 0.
    pub number: u64,
    /// Time of arrival, counted from the start of the run.
    pub at: Duration,
    /// Kind.
    pub kind: Kind,
    /// Class.
    pub class: id::Class,
    /// Prompt, or the body of a print order.
    pub prompt: String,
    /// Length of the answer.
    pub output: Tokens,
    /// Target for the whole answer.
    pub target: Duration,
}

/// Poisson arrivals. The same seed gives the same arrivals.
#[derive(Debug)]
pub struct Plan {
    rng: StdRng,
    seed: u64,
    rate: Rate,
    mixes: Vec<Mix>,
    at: Duration,
    number: u64,
}

impl Plan {
    /// Arrivals at `rate`, with mixes in order of their start.
    #[must_use]
    pub fn new(seed: u64, rate: Rate, mixes: Vec<Mix>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            seed,
            rate,
            mixes,
            at: Duration::ZERO,
            number: 0,
        }
    }

    fn vary(&mut self, mean: Tokens) -> Tokens {
        let mean = mean.get().max(1);
        Tokens::new(self.rng.random_range(mean.div_ceil(2)..=mean + mean / 2))
    }

    /// Requests of a kind share the first half of their mean prompt, as reviews of one kitchen do.
    fn prompt(&mut self, kind: Kind, mean: Tokens) -> String {
        let length = self.vary(mean).get() * TOKEN_BYTES;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let common = usize::try_from(mean.get() * TOKEN_BYTES / 2).unwrap_or(0);
        let mut prompt = format!("{kind} of the common menu; ").repeat(common / 24 + 1);
        prompt.truncate(common);
        let _infallible = write!(prompt, "#{}-{} ", self.seed, self.number);
        while prompt.len() < length {
            prompt.push(char::from(self.rng.random_range(b'a'..=b'z')));
        }
        prompt
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.rate.get() <= 0.0 {
            return None;
        }
        // Inverse of the exponential distribution; the argument of `ln` is never 0.
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate.get();
        self.at += Duration::from_secs_f64(gap);
        let current = self.mixes.iter().rfind(|mix| mix.from <= self.at);
        let mix = current.or(self.mixes.first())?.clone();
        let sum: f64 = mix.weights.iter().sum();
        let mut place = self.rng.random::<f64>() * sum;
        let index = mix.weights.iter().position(|weight| {
            place -= weight;
            place < 0.0
        });
        let index = index.unwrap_or(0);
        let kind = Kind::ALL[index];
        let profile = &mix.profiles[index];
        let prompt = self.prompt(kind, profile.prompt);
        let output = self.vary(profile.output);
        let number = self.number;
        self.number += 1;
        Some(Arrival {
            number,
            at: self.at,
            kind,
            class: profile.class.clone(),
            prompt,
            output,
            target: profile.target,
        })
    }
}
