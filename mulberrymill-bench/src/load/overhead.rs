use std::{fmt, rc::Rc, time::Duration};

use mulberrymill::unit::Tokens;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    Result,
    client::{Target, client, execute},
    plan::{Arrival, Kind, Mix},
    run::{Config, run},
    summary::{Figures, Outcome, Sample},
};

/// Latency that an entry adds, from one run that alternates between the two ways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Requests sent straight to the engine.
    pub direct: Figures,
    /// Requests sent through the entry.
    pub entry: Figures,
    /// Difference of the medians, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub added_p99_ms: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, one) in [("direct", &self.direct), ("entry", &self.entry)] {
            writeln!(
                f,
                "{name}: sent {}, whole {}, refused {}, failed {}, wrong {}, ms p50 p95 p99 {}",
                one.sent, one.whole, one.refused, one.failed, one.wrong, one.whole_ms
            )?;
        }
        write!(
            f,
            "added: {:.3} ms at p50, {:.3} ms at p99",
            self.added_p50_ms, self.added_p99_ms
        )
    }
}

/// Sends every other request through `entry` and the rest to `direct`. The rate of `config` counts
/// both ways together. Only verdicts are sent, since their short answers show the path best.
///
/// # Errors
///
/// As [`run`].
pub async fn overhead(mut config: Config, direct: Target, entry: Target) -> Result<Overhead> {
    config.targets = vec![direct, entry];
    config.mixes = vec![Mix {
        weights: [0.0, 0.0, 1.0, 0.0],
        ..Mix::default()
    }];
    config.services.clear();
    let (_, samples) = run(config).await?;
    let way = |target| {
        let all = samples.iter().filter(|sample| sample.target == target);
        Figures::new(&all.collect::<Vec<_>>())
    };
    let (direct, entry) = (way(0), way(1));
    Ok(Overhead {
        added_p50_ms: entry.whole_ms.p50 - direct.whole_ms.p50,
        added_p99_ms: entry.whole_ms.p99 - direct.whole_ms.p99,
        direct,
        entry,
    })
}

/// Speed of streams through one target.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Throughput {
    /// Streams that were whole.
    pub whole: u64,
    /// Streams that were refused, failed or wrong.
    pub other: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Tokens received per second.
    pub tokens_per_second: f64,
}

impl fmt::Display for Throughput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} streams whole, {} not, {} tokens in {:.2} s: {:.0} tokens/s",
            self.whole, self.other, self.tokens, self.seconds, self.tokens_per_second
        )
    }
}

/// Keeps `streams` streams of `output` tokens open on the first target until `config.count` have
/// been sent or `config.duration` has passed.
///
/// # Errors
///
/// Fails if there is no target.
pub async fn stream(config: Config, streams: usize, output: Tokens) -> Result<Throughput> {
    if config.targets.is_empty() {
        return Err(std::io::Error::other("there is no target"));
    }
    let config = Rc::new(config);
    let start = Instant::now();
    let workers = (0..streams as u64).map(|worker| {
        let config = Rc::clone(&config);
        actix_rt::spawn(work(config, worker, streams as u64, output, start))
    });
    let mut sum = Throughput::default();
    for samples in futures_util::future::join_all(workers).await {
        for sample in samples.map_err(std::io::Error::other)? {
            sum.tokens += sample.tokens;
            if sample.outcome == Outcome::Whole {
                sum.whole += 1;
            } else {
                sum.other += 1;
            }
        }
    }
    sum.seconds = start.elapsed().as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    let tokens = sum.tokens as f64;
    sum.tokens_per_second = tokens / sum.seconds.max(1e-9);
    Ok(sum)
}

async fn work(
    config: Rc<Config>,
    worker: u64,
    workers: u64,
    output: Tokens,
    start: Instant,
) -> Vec<Sample> {
    let client = client(config.timeout);
    let class = Mix::default().profiles[1].class.clone();
    let mut samples = Vec::new();
    let mut number = worker;
    while number < config.count && start.elapsed() < config.duration {
        let arrival = Arrival {
            number,
            at: Duration::ZERO,
            kind: Kind::Check,
            class: class.clone(),
            prompt: format!("stream {}-{number}", config.seed),
            output,
            target: config.timeout,
        };
        let arrival = Rc::new(arrival);
        samples.push(execute(&client, &config, 0, arrival, Instant::now()).await);
        number += workers;
    }
    samples
}
