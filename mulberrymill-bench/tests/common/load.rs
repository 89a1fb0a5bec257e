use std::{fmt::Write, net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use mulberrymill::unit::{Rate, Tokens};
use mulberrymill_bench::{
    fleet::{CALLER_KEY, MODEL, Process},
    load::{self, Mix, Outcome, Sample, Summary},
    service,
};

use super::Harness;

/// Timeout of one request of the load.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum duration of a load. A load usually ends much earlier, after its number of requests.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(40);

/// A running load.
pub(crate) struct Load(JoinHandle<load::Result<(Summary, Vec<Sample>)>>);

/// Results of a load without wrong responses, in which no operation was executed twice, was
/// executed although its caller was told that it was not, or was missing although reported as
/// executed.
#[derive(Debug)]
pub(crate) struct LoadResult {
    samples: Vec<Sample>,
}

impl Harness {
    /// A load of short requests of all kinds to all entries.
    pub(crate) fn short_requests(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.2, 0.3, 0.2, 0.3], [100, 20]))
    }

    /// A load of short engine requests to all entries, without service operations.
    pub(crate) fn engine_requests(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.2, 0.4, 0.4, 0.0], [100, 20]))
    }

    /// A load of print operations only, which must not be executed twice.
    pub(crate) fn print_requests(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.0, 0.0, 0.0, 1.0], [1, 1]))
    }

    /// A load of streams that each last several seconds and start at about the same time.
    pub(crate) fn stream_requests(&self, seed: u64, count: u64) -> load::Config {
        load::Config {
            rate: Rate::new(200.0),
            ..self.load(seed, count, mix([1.0, 0.0, 0.0, 0.0], [100, 200]))
        }
    }

    fn load(&self, seed: u64, count: u64, mix: Mix) -> load::Config {
        let entries = self.fleet.entries.iter().map(Process::address);
        let services = self
            .fleet
            .services
            .iter()
            .map(service::Handle::fault_address);
        load::Config {
            targets: targets(entries),
            model: MODEL.parse().expect("a valid model name"),
            bearer: Some(CALLER_KEY.to_owned()),
            seed,
            rate: Rate::new(60.0),
            mixes: vec![mix],
            count,
            duration: MAX_LOAD_DURATION,
            timeout: REQUEST_TIMEOUT,
            services: targets(services),
            ..load::Config::default()
        }
    }
}

/// Converts the addresses of HTTP servers to targets of a load.
pub(crate) fn targets(addresses: impl Iterator<Item = SocketAddr>) -> Vec<load::Target> {
    let targets = addresses.map(|address| format!("http://{address}").parse());
    targets.map(|target| target.expect("a valid URL")).collect()
}

/// A mix with the given weights, and with the sizes of prompts and outputs in tokens.
fn mix(weights: [f64; 4], [prompt, output]: [u64; 2]) -> Mix {
    let mut mix = Mix {
        weights,
        ..Mix::default()
    };
    for profile in mix.profiles.iter_mut().take(3) {
        profile.prompt = Tokens::new(prompt);
        profile.output = Tokens::new(output);
    }
    mix
}

impl Load {
    /// Starts a load in a task of its own.
    pub(crate) fn start(config: load::Config) -> Self {
        Self(actix_rt::spawn(load::run(config)))
    }

    /// Waits until the load ends. Panics if a response is wrong or an operation ran more than once.
    pub(crate) async fn end(self) -> LoadResult {
        let ended = self.0.await.expect("the load task does not panic");
        let (summary, samples) = ended.expect("the load completes");
        assert!(summary.is_sound(), "{summary}\n{summary:?}");
        LoadResult { samples }
    }
}

impl LoadResult {
    /// Number of requests with each outcome, with the reasons of refusals and failures.
    pub(crate) fn outcomes(&self) -> String {
        let mut counts = std::collections::BTreeMap::<String, u64>::new();
        for sample in &self.samples {
            let name = match &sample.outcome {
                Outcome::Whole => "whole".to_owned(),
                Outcome::Refused(reason) => format!("refused: {reason}"),
                Outcome::Failed(reason) => format!("failed: {reason}"),
                Outcome::Wrong => "wrong".to_owned(),
            };
            *counts.entry(name).or_default() += 1;
        }
        let mut text = String::new();
        for (name, count) in counts {
            let separator = if text.is_empty() { "" } else { "; " };
            let _infallible = write!(text, "{separator}{count} {name}");
        }
        text
    }

    /// Whether each request has a complete response or an error response from an entry. Failures of
    /// the connection and timeouts do not count as error responses.
    pub(crate) fn reports_every_failure(&self) -> bool {
        self.samples.iter().all(|sample| match &sample.outcome {
            Outcome::Whole | Outcome::Refused(_) => true,
            Outcome::Failed(reason) => {
                reason.starts_with(|first: char| first.is_ascii_digit())
                    || reason == "error event in the stream"
            }
            Outcome::Wrong => false,
        })
    }
}
