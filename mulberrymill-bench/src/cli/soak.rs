use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_util::{StreamExt, stream};

use super::imp::{Result, value};
use crate::soak::{self, Config};

pub(super) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("soak")
        .about("Injects faults around gateways and checks what callers and endpoints observe")
        .arg(number("from", "1", "First seed"))
        .arg(number("count", "10", "Number of seeds"))
        .arg(number(
            "seconds",
            "8",
            "Seconds for which each seed sends requests",
        ))
        .arg(number("gateways", "3", "Number of gateways per seed"))
        .arg(number("jobs", "4", "Number of seeds that run concurrently"))
        .arg(
            Arg::new("folder")
                .long("folder")
                .help("Folder for settings and logs")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) async fn run(args: &ArgMatches) -> Result<bool> {
    let folder: PathBuf = value(args, "folder");
    let from: u64 = value(args, "from");
    let seeds = from..from + value::<u64>(args, "count");
    let runs = seeds.map(|seed| {
        let folder = folder.join(seed.to_string());
        let config = Config {
            seed,
            length: Duration::from_secs(value(args, "seconds")),
            gateways: usize::try_from(value::<u64>(args, "gateways")).unwrap_or(1),
            ..Config::default()
        };
        async move {
            let result = soak::play(&config, &folder).await;
            result
                .map(|breaches| (seed, breaches))
                .map_err(|error| format!("seed {seed}: {error}"))
        }
    });
    let jobs = usize::try_from(value::<u64>(args, "jobs")).unwrap_or(1);
    let mut results = stream::iter(runs).buffer_unordered(jobs.max(1));
    let mut sound = true;
    while let Some(result) = results.next().await {
        match result {
            Ok((seed, breaches)) if breaches.is_empty() => println!("seed {seed}: nothing broken"),
            Ok((seed, breaches)) => {
                sound = false;
                for breach in breaches {
                    println!("seed {seed}: BROKEN {breach}");
                }
            }
            Err(error) => {
                sound = false;
                println!("{error}");
            }
        }
    }
    Ok(sound)
}
