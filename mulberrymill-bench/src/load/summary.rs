use std::{collections::BTreeMap, fmt, time::Duration};

use mulberrymill::id;
use serde::Serialize;

use super::plan::Kind;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase", tag = "outcome", content = "reason")]
pub enum Outcome {
    /// The answer is complete and belongs to its prompt. For a print order, the status of the
    /// response is a success.
    Whole,
    /// The server refused the request and stated that it was not executed; the value is the reason.
    Refused(String),
    /// Any other failure, including a stream that broke off; the value is the reason.
    Failed(String),
    /// The response ended regularly, but its text is not the answer to its prompt.
    Wrong,
}

/// Measurements of a request. Times are measured from the planned arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the arrival in the plan.
    pub number: u64,
    /// Index of the target in [`super::Config::targets`].
    pub target: usize,
    /// Kind of the request.
    pub kind: Kind,
    /// Class that the request named.
    pub class: id::Class,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time to the head of the response, which for a streamed response is the time in queues.
    pub queue: Option<Duration>,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Longest time between two parts of the text.
    pub between: Option<Duration>,
    /// Time to the end of the response.
    pub whole: Duration,
    /// Whether the complete answer arrived within the target of its class.
    pub good: bool,
    /// Number of answer tokens received.
    pub tokens: u64,
}

/// Quantiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Quantiles {
    /// Computes quantiles by the nearest-rank method; zero without samples.
    pub fn new(samples: impl IntoIterator<Item = Duration>) -> Self {
        let mut sorted: Vec<Duration> = samples.into_iter().collect();
        sorted.sort_unstable();
        let quantile = |percent: usize| {
            let rank = (sorted.len() * percent).div_ceil(100).max(1);
            let found = sorted.get(rank - 1);
            found.map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
        };
        Self {
            p50: quantile(50),
            p95: quantile(95),
            p99: quantile(99),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.1} {:8.1} {:8.1}", self.p50, self.p95, self.p99)
    }
}

/// Results of a class. The quantiles cover complete answers only.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Number of arrivals, including those above the limit of requests in progress.
    pub sent: u64,
    /// Complete answers.
    pub whole: u64,
    /// Complete answers within the target.
    pub good: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Answers that do not belong to their prompt.
    pub wrong: u64,
    /// Time to the head of the response.
    pub queue_ms: Quantiles,
    /// Time to the first token.
    pub first_ms: Quantiles,
    /// Longest time between two parts of the text.
    pub between_ms: Quantiles,
    /// Time to the end of the answer.
    pub whole_ms: Quantiles,
}

impl Figures {
    /// Aggregates samples.
    #[must_use]
    pub fn new(samples: &[&Sample]) -> Self {
        let mut figures = Self::default();
        for sample in samples {
            figures.sent += 1;
            figures.good += u64::from(sample.good);
            match sample.outcome {
                Outcome::Whole => figures.whole += 1,
                Outcome::Refused(_) => figures.refused += 1,
                Outcome::Failed(_) => figures.failed += 1,
                Outcome::Wrong => figures.wrong += 1,
            }
        }
        let complete = || {
            samples
                .iter()
                .filter(|sample| sample.outcome == Outcome::Whole)
        };
        figures.queue_ms = Quantiles::new(complete().filter_map(|sample| sample.queue));
        figures.first_ms = Quantiles::new(complete().filter_map(|sample| sample.first));
        figures.between_ms = Quantiles::new(complete().filter_map(|sample| sample.between));
        figures.whole_ms = Quantiles::new(complete().map(|sample| sample.whole));
        figures
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Complete answers within their target per second.
    pub goodput: f64,
    /// Tokens received per second.
    pub tokens_per_second: f64,
    /// Results by class.
    pub classes: BTreeMap<String, Figures>,
    /// Number of refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Idempotency keys whose operation ran more than once.
    pub ran_twice: Vec<String>,
    /// Idempotency keys whose operation ran although the response stated that it did not.
    pub ran_after_no: Vec<String>,
    /// Idempotency keys whose operation did not run although the response stated that it did.
    pub never_ran: Vec<String>,
}

impl Summary {
    /// Summarizes samples of a run of the given length.
    #[must_use]
    pub fn new(samples: &[Sample], length: Duration) -> Self {
        let mut groups: BTreeMap<String, Vec<&Sample>> = BTreeMap::new();
        let mut reasons = BTreeMap::new();
        for sample in samples {
            let group = groups.entry(sample.class.to_string()).or_default();
            group.push(sample);
            if let Outcome::Refused(reason) | Outcome::Failed(reason) = &sample.outcome {
                *reasons.entry(reason.clone()).or_default() += 1;
            }
        }
        let seconds = length.as_secs_f64().max(1e-9);
        #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
        let per_second = |count: u64| count as f64 / seconds;
        Self {
            seconds,
            goodput: per_second(samples.iter().map(|sample| u64::from(sample.good)).sum()),
            tokens_per_second: per_second(samples.iter().map(|sample| sample.tokens).sum()),
            classes: groups
                .into_iter()
                .map(|(class, group)| (class, Figures::new(&group)))
                .collect(),
            reasons,
            ..Self::default()
        }
    }

    /// Whether no answer was wrong and every operation ran at most once, as its response stated.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.classes.values().all(|figures| figures.wrong == 0)
            && self.ran_twice.is_empty()
            && self.ran_after_no.is_empty()
            && self.never_ran.is_empty()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.1} s, goodput {:.1}/s, {:.0} tokens/s",
            self.seconds, self.goodput, self.tokens_per_second
        )?;
        for (class, figures) in &self.classes {
            writeln!(
                f,
                "{class}: sent {}, whole {}, good {}, refused {}, failed {}, wrong {}",
                figures.sent,
                figures.whole,
                figures.good,
                figures.refused,
                figures.failed,
                figures.wrong
            )?;
            writeln!(f, "  ms            p50      p95      p99")?;
            writeln!(f, "  queue    {}", figures.queue_ms)?;
            writeln!(f, "  first    {}", figures.first_ms)?;
            writeln!(f, "  between  {}", figures.between_ms)?;
            writeln!(f, "  whole    {}", figures.whole_ms)?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "{count} x {reason}")?;
        }
        write!(
            f,
            "keys: {} ran twice, {} ran after executed no, {} never ran",
            self.ran_twice.len(),
            self.ran_after_no.len(),
            self.never_ran.len()
        )
    }
}
