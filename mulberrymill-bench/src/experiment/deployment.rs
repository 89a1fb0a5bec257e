use std::{fmt, str::FromStr, time::Duration};

use mulberrymill::{
    config::{self, CallerSpec, ClassSpec, Document},
    id::{Caller, Class, Model, Service},
    unit::{Rate, Tokens},
};
use serde::Serialize;

use crate::{
    engine,
    load::{Kind, Profile},
};

/// Number of sequences in a full batch, which share the fixed part of a decode step.
const BATCH_SIZE: f64 = 32.0;

/// Example deployment, which defines the classes and endpoints of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Allergen division: 9 engines, 4 service endpoints.
    Santiago,
    /// Payroll cooperative: 9 engines, 3 service endpoints.
    Java,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Santiago, Self::Java];

    /// Example document with a single caller without limits, because limits per caller are not
    /// measured.
    ///
    /// # Panics
    ///
    /// Panics if the example document is invalid.
    #[must_use]
    pub fn document(self) -> Document {
        let text = match self {
            Self::Santiago => include_str!("../../../examples/santiago.jsonc"),
            Self::Java => include_str!("../../../examples/java.jsonc"),
        };
        let mut document = config::parse("example", text).expect("the example is valid");
        let spec = CallerSpec {
            key_sha256: "0".repeat(64),
            classes: document.classes.keys().cloned().collect(),
            rate: Rate::new(1e9),
            in_progress: u32::MAX,
        };
        document.callers.clear();
        document.callers.insert(caller(), spec);
        document
    }

    pub(super) fn model(self) -> Model {
        match self {
            Self::Santiago => parse_name("allergen"),
            Self::Java => parse_name("answer"),
        }
    }

    pub(super) fn service(self) -> Service {
        match self {
            Self::Santiago => parse_name("labels"),
            Self::Java => parse_name("payroll"),
        }
    }

    /// Class of requests of a kind; calls of the plain service are in the most urgent class.
    #[must_use]
    pub fn class(self, kind: Kind) -> Class {
        parse_name(match (self, kind) {
            (Self::Santiago, Kind::Review) => "review",
            (Self::Santiago, Kind::Check) => "check",
            (Self::Santiago, Kind::Verdict | Kind::Print) => "verdict",
            (Self::Java, Kind::Review) => "contract",
            (Self::Java, Kind::Check) => "question",
            (Self::Java, Kind::Verdict | Kind::Print) => "payment",
        })
    }

    pub(super) fn profile(self, kind: Kind, document: &Document) -> Profile {
        let class = self.class(kind);
        let (prompt, output) = match (self, kind) {
            (Self::Santiago, Kind::Review) => (2_000, 150),
            (Self::Santiago, Kind::Check) => (200, 60),
            (Self::Santiago, Kind::Verdict) => (100, 4),
            (Self::Java, Kind::Review) => (3_000, 200),
            (Self::Java, Kind::Check) => (300, 80),
            (Self::Java, Kind::Verdict) => (100, 20),
            (_, Kind::Print) => (1, 1),
        };
        Profile {
            prompt: Tokens::new(prompt),
            output: Tokens::new(output),
            target: document.classes[&class].whole,
            class,
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Santiago => "santiago",
            Self::Java => "java",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL
            .into_iter()
            .find(|deployment| deployment.to_string() == text);
        found.ok_or_else(|| "expected santiago or java".to_owned())
    }
}

/// Caller of all requests.
pub(super) fn caller() -> Caller {
    parse_name("experiment")
}

fn parse_name<T: FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the built-in names are valid")
}

/// Minimum engine time of a request: prefill of the prompt without the blocks that all requests of
/// its kind share, and decoding in a batch that is always full.
pub(super) fn min_engine_time(prompt: Tokens, shared: Tokens, output: Tokens) -> Duration {
    let config = engine::Config::default();
    let block = config.block.get();
    let cached = shared.get() / block * block;
    let prefill = as_f64(prompt.get().saturating_sub(cached)) / config.prefill_rate.get();
    let step = config.step.as_secs_f64() / BATCH_SIZE + config.step_per_sequence.as_secs_f64();
    Duration::from_secs_f64(prefill + as_f64(output.get()) * step)
}

/// Mean of [`min_engine_time`] over the requests of a profile.
pub(super) fn mean_engine_time(profile: &Profile) -> Duration {
    let shared = Tokens::new(profile.prompt.get() / 2);
    min_engine_time(profile.prompt, shared, profile.output)
}

/// Whether an answer of an engine misses the target for the first token, for the time between
/// tokens, of which the mean counts, and for the whole answer.
pub(super) fn missed_targets(
    spec: &ClassSpec,
    first: Duration,
    whole: Duration,
    tokens: u64,
) -> [bool; 3] {
    let gaps = u32::try_from(tokens.saturating_sub(1)).unwrap_or(u32::MAX);
    let between = whole.saturating_sub(first).checked_div(gaps);
    [
        first > spec.first_token,
        between.unwrap_or_default() > spec.between_tokens,
        whole > spec.whole,
    ]
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
pub(super) fn as_f64(number: u64) -> f64 {
    number as f64
}
