use std::{collections::BTreeMap, fmt, time::Duration};

use mulberrymill::id;
use serde::Serialize;

use super::plan::Kind;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase", tag = "outcome", content = "reason")]
pub enum Outcome {
    /// The whole answer arrived and belongs to its prompt.
    Whole,
    /// Refused with the statement that it was not executed.
    Refused(String),
    /// Failed in any other way, cut off streams included.
    Failed(String),
    /// Ended as if it were whole, but the text is not the answer to its prompt.
    Wrong,
}

/// One request as measured. Times are counted from the planned arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Position in the plan.
    pub number: u64,
    /// Position of the target in the configuration.
    pub target: usize,
    /// Kind.
    pub kind: Kind,
    /// Class.
    pub class: id::Class,
    /// What became of it.
    pub outcome: Outcome,
    /// Until the head of the response: time in queues, if the response is streamed.
    pub queue: Option<Duration>,
    /// Until the first token.
    pub first: Option<Duration>,
    /// Longest time between two pieces of text.
    pub between: Option<Duration>,
    /// Until the end.
    pub whole: Duration,
    /// Whether the answer was whole inside the target of its class.
    pub good: bool,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// Median and high quantiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

impl Quantiles {
    /// Quantiles by the nearest rank; zero without samples.
    pub fn new(samples: impl IntoIterator<Item = Duration>) -> Self {
        let mut sorted: Vec<Duration> = samples.into_iter().collect();
        sorted.sort_unstable();
        let at = |percent: usize| {
            let rank = (sorted.len() * percent).div_ceil(100).max(1);
            let found = sorted.get(rank - 1);
            found.map_or(0.0, |period| period.as_secs_f64() * 1e3)
        };
        Self {
            p50: at(50),
            p95: at(95),
            p99: at(99),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.1} {:8.1} {:8.1}", self.p50, self.p95, self.p99)
    }
}

/// Figures of one class. The quantiles cover whole answers only.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers inside the target.
    pub good: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Answers that do not belong to their prompt.
    pub wrong: u64,
    /// Until the head of the response.
    pub queue_ms: Quantiles,
    /// Until the first token.
    pub first_ms: Quantiles,
    /// Longest time between two pieces of text.
    pub between_ms: Quantiles,
    /// Until the end of the answer.
    pub whole_ms: Quantiles,
}

impl Figures {
    /// Figures of some samples.
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
        let whole = || samples.iter().filter(|one| one.outcome == Outcome::Whole);
        figures.queue_ms = Quantiles::new(whole().filter_map(|one| one.queue));
        figures.first_ms = Quantiles::new(whole().filter_map(|one| one.first));
        figures.between_ms = Quantiles::new(whole().filter_map(|one| one.between));
        figures.whole_ms = Quantiles::new(whole().map(|one| one.whole));
        figures
    }
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Whole answers inside their target per second.
    pub goodput: f64,
    /// Tokens received per second.
    pub tokens_per_second: f64,
    /// Figures by class.
    pub classes: BTreeMap<String, Figures>,
    /// Reasons of refusals and failures with their numbers.
    pub reasons: BTreeMap<String, u64>,
    /// Idempotency keys that ran more than once.
    pub ran_twice: Vec<String>,
    /// Idempotency keys that ran although the caller was told that they did not.
    pub ran_after_no: Vec<String>,
    /// Idempotency keys that did not run although the caller was told that they did.
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
            goodput: per_second(samples.iter().map(|one| u64::from(one.good)).sum()),
            tokens_per_second: per_second(samples.iter().map(|one| one.tokens).sum()),
            classes: groups
                .into_iter()
                .map(|(class, group)| (class, Figures::new(&group)))
                .collect(),
            reasons,
            ..Self::default()
        }
    }

    /// Whether no answer was wrong and no operation ran twice or against its answer.
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
        for (class, one) in &self.classes {
            writeln!(
                f,
                "{class}: sent {}, whole {}, good {}, refused {}, failed {}, wrong {}",
                one.sent, one.whole, one.good, one.refused, one.failed, one.wrong
            )?;
            writeln!(f, "  ms            p50      p95      p99")?;
            writeln!(f, "  queue    {}", one.queue_ms)?;
            writeln!(f, "  first    {}", one.first_ms)?;
            writeln!(f, "  between  {}", one.between_ms)?;
            writeln!(f, "  whole    {}", one.whole_ms)?;
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
