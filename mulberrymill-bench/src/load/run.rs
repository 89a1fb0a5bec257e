use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use mulberrymill::{id, unit::Rate};
use tokio::{sync::mpsc, time::Instant};

use super::{
    Result,
    client::{Target, client, execute, key},
    plan::{Kind, Mix, Plan},
    summary::{Outcome, Sample, Summary},
};

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where requests are sent, in turn.
    pub targets: Vec<Target>,
    /// Model that requests name.
    pub model: id::Model,
    /// Bearer key.
    pub bearer: Option<String>,
    /// Seed of the plan; also part of every idempotency key.
    pub seed: u64,
    /// Arrivals per second.
    pub rate: Rate,
    /// Mixes in order of their start.
    pub mixes: Vec<Mix>,
    /// Most requests.
    pub count: u64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Longest time for one request.
    pub timeout: Duration,
    /// Most requests in progress; an arrival beyond it counts as failed.
    pub in_progress: usize,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Whether requests are sent as conversations.
    pub chat: bool,
    /// Path of the print order.
    pub print_path: String,
    /// Service stand-ins whose executions are compared with the answers after the run.
    pub services: Vec<Target>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            model: "m".parse().expect("the built-in model name is valid"),
            bearer: None,
            seed: 1,
            rate: Rate::new(50.0),
            mixes: vec![Mix::default()],
            count: 1_000,
            duration: Duration::from_mins(1),
            timeout: Duration::from_mins(1),
            in_progress: 10_000,
            stream: true,
            chat: false,
            print_path: "/v1/services/labels/print".to_owned(),
            services: Vec::new(),
        }
    }
}

/// Runs the plan and returns what was measured. Runs inside an actix system.
///
/// # Errors
///
/// Fails if there is no target or if the executions of a service cannot be read.
pub async fn run(config: Config) -> Result<(Summary, Vec<Sample>)> {
    if config.targets.is_empty() {
        return Err(std::io::Error::other("there is no target"));
    }
    let config = Rc::new(config);
    let start = Instant::now();
    let samples = send(&config, start).await;
    let mut summary = Summary::new(&samples, start.elapsed());
    if !config.services.is_empty() {
        let executions = executions(&config).await?;
        compare(&config, &samples, &executions, &mut summary);
    }
    Ok((summary, samples))
}

async fn send(config: &Rc<Config>, start: Instant) -> Vec<Sample> {
    let client = client(config.timeout);
    let plan = Plan::new(config.seed, config.rate, config.mixes.clone());
    let plan = plan.take(usize::try_from(config.count).unwrap_or(usize::MAX));
    let (sender, mut results) = mpsc::unbounded_channel();
    let mut samples = Vec::new();
    let mut sent = 0;
    for arrival in plan.take_while(|arrival| arrival.at <= config.duration) {
        let planned = start + arrival.at;
        tokio::time::sleep_until(planned).await;
        while let Ok(sample) = results.try_recv() {
            samples.push(sample);
        }
        let place = usize::try_from(arrival.number).unwrap_or(0);
        let target = place % config.targets.len();
        let arrival = Rc::new(arrival);
        sent += 1;
        if sent - samples.len() > config.in_progress {
            let class = arrival.class.clone();
            samples.push(Sample {
                number: arrival.number,
                target,
                kind: arrival.kind,
                class,
                outcome: Outcome::Failed("not sent: too many in progress".to_owned()),
                queue: None,
                first: None,
                between: None,
                whole: Duration::ZERO,
                good: false,
                tokens: 0,
            });
            continue;
        }
        let (client, config, sender) = (client.clone(), Rc::clone(config), sender.clone());
        actix_rt::spawn(async move {
            let sample = execute(&client, &config, target, arrival, planned).await;
            let _collector = sender.send(sample);
        });
    }
    drop(sender);
    while let Some(sample) = results.recv().await {
        samples.push(sample);
    }
    samples.sort_unstable_by_key(|sample| sample.number);
    samples
}

/// Reads the executions of all services, added up by idempotency key.
async fn executions(config: &Config) -> Result<HashMap<String, u64>> {
    let client = client(config.timeout);
    let mut sums = HashMap::new();
    for service in &config.services {
        let request = client.get(format!("{service}/executions"));
        let mut response = request.send().await.map_err(lost)?;
        let counts: BTreeMap<String, u64> = response.json().await.map_err(lost)?;
        for (name, count) in counts {
            let key = name.split_once('/').map_or("", |(_, key)| key);
            *sums.entry(key.to_owned()).or_default() += count;
        }
    }
    Ok(sums)
}

fn lost(error: impl std::fmt::Display) -> std::io::Error {
    std::io::Error::other(format!("the executions cannot be read: {error}"))
}

pub(super) fn compare(
    config: &Config,
    samples: &[Sample],
    executions: &HashMap<String, u64>,
    summary: &mut Summary,
) {
    for sample in samples.iter().filter(|sample| sample.kind == Kind::Print) {
        let key = key(config, sample.number);
        let count = executions.get(&key).copied().unwrap_or(0);
        if count > 1 {
            summary.ran_twice.push(key.clone());
        }
        match sample.outcome {
            Outcome::Whole if count == 0 => summary.never_ran.push(key),
            Outcome::Refused(_) if count > 0 => summary.ran_after_no.push(key),
            _ => {}
        }
    }
}
