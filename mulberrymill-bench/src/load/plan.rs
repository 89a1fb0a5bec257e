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

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Menu review: long prompt, short to medium answer.
    Review,
    /// Ingredient check: short prompt, short answer.
    Check,
    /// Verdict: shortest answer, most urgent.
    Verdict,
    /// Print order: operation of a plain service that must run at most once.
    Print,
}

impl Kind {
    /// All kinds, in the order of [`Mix::weights`].
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

/// Class, lengths and target of requests of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Class, sent as `service_tier`.
    pub class: id::Class,
    /// Mean prompt length; lengths are uniformly distributed from 0.5 to 1.5 times the mean.
    pub prompt: Tokens,
    /// Mean answer length, with the same distribution.
    pub output: Tokens,
    /// Target for the whole answer.
    pub target: Duration,
}

/// Weight and profile of each kind, in the order of [`Kind::ALL`], from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Time since the start of the run from which the mix applies; default 0.
    pub from: Duration,
    /// Weights of the kinds, relative to their sum.
    pub weights: [f64; 4],
    /// Profiles of the kinds.
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

/// Request with its time of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index in the plan, from 0.
    pub number: u64,
    /// Time of arrival since the start of the run.
    pub at: Duration,
    /// Kind of the request.
    pub kind: Kind,
    /// Class that the request names.
    pub class: id::Class,
    /// Prompt, or the body of a print order.
    pub prompt: String,
    /// Requested length of the answer.
    pub output: Tokens,
    /// Target for the whole answer.
    pub target: Duration,
}

/// Infinite Poisson process of arrivals. The same seed gives the same arrivals.
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
    /// Creates a process with `rate`; `mixes` are in order of their start. No request arrives at
    /// rate 0.
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

    /// Draws a length from 0.5 to 1.5 times the mean.
    fn sample_length(&mut self, mean: Tokens) -> Tokens {
        let mean = mean.get().max(1);
        Tokens::new(self.rng.random_range(mean.div_ceil(2)..=mean + mean / 2))
    }

    /// Generates a prompt. Requests of a kind share a prefix of half their mean prompt length, as
    /// reviews of one kitchen do.
    fn prompt(&mut self, kind: Kind, mean: Tokens) -> String {
        let length = self.sample_length(mean).get() * TOKEN_BYTES;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let shared_bytes = usize::try_from(mean.get() * TOKEN_BYTES / 2).unwrap_or(0);
        let mut prompt = format!("{kind} of the common menu; ").repeat(shared_bytes / 24 + 1);
        prompt.truncate(shared_bytes);
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
        let mut remaining = self.rng.random::<f64>() * sum;
        let index = mix.weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        let index = index.unwrap_or(0);
        let kind = Kind::ALL[index];
        let profile = &mix.profiles[index];
        let prompt = self.prompt(kind, profile.prompt);
        let output = self.sample_length(profile.output);
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
