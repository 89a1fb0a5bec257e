use std::{fmt, rc::Rc, time::Duration};

use mulberrymill::unit::Tokens;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    Result,
    client::{Target, build_client, execute},
    plan::{Arrival, Kind, Mix},
    run::{Config, run},
    summary::{Figures, Outcome, Sample},
};

/// Latency that an entry adds, measured in a run that alternates between the two paths.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Results of the requests sent directly to the engine.
    pub direct: Figures,
    /// Results of the requests sent through the entry.
    pub entry: Figures,
    /// Difference of the medians of the response time, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles of the response time, in milliseconds.
    pub added_p99_ms: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, figures) in [("direct", &self.direct), ("entry", &self.entry)] {
            writeln!(
                f,
                "{name}: sent {}, whole {}, refused {}, failed {}, wrong {}, ms p50 p95 p99 {}",
                figures.sent,
                figures.whole,
                figures.refused,
                figures.failed,
                figures.wrong,
                figures.whole_ms
            )?;
        }
        write!(
            f,
            "added: {:.3} ms at p50, {:.3} ms at p99",
            self.added_p50_ms, self.added_p99_ms
        )
    }
}

/// Sends requests alternately to `direct` and `entry`, at the rate of `config` in total. Only
/// verdicts are sent, because the path has most effect on the response time of short answers.
///
/// # Errors
///
/// Fails as [`run`] does.
pub async fn overhead(mut config: Config, direct: Target, entry: Target) -> Result<Overhead> {
    config.targets = vec![direct, entry];
    config.mixes = vec![Mix {
        weights: [0.0, 0.0, 1.0, 0.0],
        ..Mix::default()
    }];
    config.services.clear();
    let (_, samples) = run(config).await?;
    let target_figures = |target| {
        let all = samples.iter().filter(|sample| sample.target == target);
        Figures::new(&all.collect::<Vec<_>>())
    };
    let (direct, entry) = (target_figures(0), target_figures(1));
    Ok(Overhead {
        added_p50_ms: entry.whole_ms.p50 - direct.whole_ms.p50,
        added_p99_ms: entry.whole_ms.p99 - direct.whole_ms.p99,
        direct,
        entry,
    })
}

/// Throughput of streams from a target.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Throughput {
    /// Complete streams.
    pub whole: u64,
    /// Refused, failed or wrong streams.
    pub other: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Duration of the run in seconds.
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

/// Measures the throughput of `streams` concurrent streams of `output` tokens each from the first
/// target. Streams start until `config.count` have been sent or `config.duration` has passed.
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
        actix_rt::spawn(run_worker(config, worker, streams as u64, output, start))
    });
    let mut total = Throughput::default();
    for samples in futures_util::future::join_all(workers).await {
        for sample in samples.map_err(std::io::Error::other)? {
            total.tokens += sample.tokens;
            if sample.outcome == Outcome::Whole {
                total.whole += 1;
            } else {
                total.other += 1;
            }
        }
    }
    total.seconds = start.elapsed().as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    let tokens = total.tokens as f64;
    total.tokens_per_second = tokens / total.seconds.max(1e-9);
    Ok(total)
}

async fn run_worker(
    config: Rc<Config>,
    worker: u64,
    workers: u64,
    output: Tokens,
    start: Instant,
) -> Vec<Sample> {
    let client = build_client(config.timeout);
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
