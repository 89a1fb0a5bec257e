use std::{fmt::Write, net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use mulberrymill::unit::{Rate, Tokens};
use mulberrymill_bench::{
    fleet::{CALLER_KEY, MODEL, Process},
    load::{self, Mix, Outcome, Sample, Summary},
    service,
};

use super::Rig;

/// Longest time for one request of the load.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);
/// Longest time in which requests arrive; the number of requests ends a load long before.
const ARRIVALS_LIMIT: Duration = Duration::from_secs(40);

/// A load in progress.
pub(crate) struct Load(JoinHandle<load::Result<(Summary, Vec<Sample>)>>);

/// A load that has ended, in which no answer was wrong, and no operation ran twice or against what
/// its caller was told.
#[derive(Debug)]
pub(crate) struct Ended {
    samples: Vec<Sample>,
}

impl Rig {
    /// Short requests of all kinds to all entries.
    pub(crate) fn quick(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.2, 0.3, 0.2, 0.3], [100, 20]))
    }

    /// Short requests that engines answer, to all entries.
    pub(crate) fn answers(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.2, 0.4, 0.4, 0.0], [100, 20]))
    }

    /// Print orders only, which must not run twice.
    pub(crate) fn prints(&self, seed: u64, count: u64) -> load::Config {
        self.load(seed, count, mix([0.0, 0.0, 0.0, 1.0], [1, 1]))
    }

    /// Answers of several seconds that arrive together.
    pub(crate) fn streams(&self, seed: u64, count: u64) -> load::Config {
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
            duration: ARRIVALS_LIMIT,
            timeout: ANSWER_LIMIT,
            services: targets(services),
            ..load::Config::default()
        }
    }
}

/// HTTP servers as targets of a load.
pub(crate) fn targets(addresses: impl Iterator<Item = SocketAddr>) -> Vec<load::Target> {
    let targets = addresses.map(|address| format!("http://{address}").parse());
    targets.map(|target| target.expect("a valid URL")).collect()
}

/// A mix with the given weights, and the sizes of the prompts and the answers.
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
    pub(crate) fn start(config: load::Config) -> Self {
        Self(actix_rt::spawn(load::run(config)))
    }

    /// Waits for the last answer.
    pub(crate) async fn end(self) -> Ended {
        let ended = self.0.await.expect("the load does not panic");
        let (summary, samples) = ended.expect("the load runs");
        assert!(summary.is_sound(), "{summary}\n{summary:?}");
        Ended { samples }
    }
}

impl Ended {
    /// Numbers of outcomes, refusals and failures with their reasons.
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

    /// Whether each request has a whole answer, or was told by an entry that it has none.
    pub(crate) fn ends_clearly(&self) -> bool {
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
