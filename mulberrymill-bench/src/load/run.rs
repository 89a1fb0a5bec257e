use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use mulberrymill::{id, unit::Rate};
use tokio::{sync::mpsc, time::Instant};

use super::{
    Result,
    client::{Target, build_client, execute, idempotency_key},
    plan::{Kind, Mix, Plan},
    summary::{Outcome, Sample, Summary},
};

/// Settings of the load generator.
#[derive(Clone, Debug)]
pub struct Config {
    /// Servers that receive the requests, round robin; default none, with which a run fails.
    pub targets: Vec<Target>,
    /// Model that the requests name; default `m`.
    pub model: id::Model,
    /// Key in the `Authorization: Bearer` header; default none.
    pub bearer: Option<String>,
    /// Seed of the plan, which is also part of each idempotency key; default 1.
    pub seed: u64,
    /// Arrivals per second; default 50.
    pub rate: Rate,
    /// Mixes in order of their start; default [`Mix::default`].
    pub mixes: Vec<Mix>,
    /// Maximum number of requests; default 1000.
    pub count: u64,
    /// Time during which requests arrive; default 1 min.
    pub duration: Duration,
    /// Timeout of a request; default 1 min.
    pub timeout: Duration,
    /// Maximum number of requests in progress; an arrival above it counts as failed. Default
    /// 10,000.
    pub in_progress: usize,
    /// Whether answers are streamed; default true.
    pub stream: bool,
    /// Whether requests use the chat API; default false.
    pub chat: bool,
    /// Path for print orders; default `/v1/services/labels/print`.
    pub print_path: String,
    /// Service stand-ins whose executions are compared with the responses after the run; default
    /// none.
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

/// Sends the planned requests and returns the measurements. Has to be called inside an actix
/// system.
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
    let samples = send_arrivals(&config, start).await;
    let mut summary = Summary::new(&samples, start.elapsed());
    if !config.services.is_empty() {
        let executions = read_executions(&config).await?;
        compare_executions(&config, &samples, &executions, &mut summary);
    }
    Ok((summary, samples))
}

async fn send_arrivals(config: &Rc<Config>, start: Instant) -> Vec<Sample> {
    let client = build_client(config.timeout);
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
        let index = usize::try_from(arrival.number).unwrap_or(0);
        let target = index % config.targets.len();
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
            let _closed_receiver = sender.send(sample);
        });
    }
    drop(sender);
    while let Some(sample) = results.recv().await {
        samples.push(sample);
    }
    samples.sort_unstable_by_key(|sample| sample.number);
    samples
}

/// Reads the executions of all services; returns the total by idempotency key.
async fn read_executions(config: &Config) -> Result<HashMap<String, u64>> {
    let client = build_client(config.timeout);
    let mut totals = HashMap::new();
    for service in &config.services {
        let request = client.get(format!("{service}/executions"));
        let mut response = request.send().await.map_err(executions_error)?;
        let counts: BTreeMap<String, u64> = response.json().await.map_err(executions_error)?;
        for (name, count) in counts {
            let key = name.split_once('/').map_or("", |(_, key)| key);
            *totals.entry(key.to_owned()).or_default() += count;
        }
    }
    Ok(totals)
}

fn executions_error(error: impl std::fmt::Display) -> std::io::Error {
    std::io::Error::other(format!("the executions cannot be read: {error}"))
}

/// Compares the executions of print orders with the responses and adds mismatches to `summary`.
pub(super) fn compare_executions(
    config: &Config,
    samples: &[Sample],
    executions: &HashMap<String, u64>,
    summary: &mut Summary,
) {
    for sample in samples.iter().filter(|sample| sample.kind == Kind::Print) {
        let key = idempotency_key(config, sample.number);
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
