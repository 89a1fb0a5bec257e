use std::{fmt::Display, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use mulberrymill::{
    id::Model,
    unit::{Rate, Tokens, period},
};
use serde::Serialize;

use super::{
    imp::{Result, value},
    mix::{Change, Weight, mixes},
};
use crate::load::{self, Config, Profile, Target};

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    option(name, help).action(ArgAction::SetTrue)
}

fn target(name: &'static str, help: &'static str) -> Arg {
    option(name, help).value_parser(value_parser!(Target))
}

fn common(command: Command) -> Command {
    command
        .arg(
            option("model", "Model that requests name")
                .default_value("m")
                .value_parser(value_parser!(Model)),
        )
        .arg(option("bearer", "Bearer key"))
        .arg(
            option(
                "seed",
                "Seed of the plan; also part of every idempotency key",
            )
            .default_value("1")
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option("rate", "Arrivals per second")
                .default_value("50/s")
                .value_parser(value_parser!(Rate)),
        )
        .arg(
            option("count", "Most requests")
                .default_value("1000")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("duration", "Time in which requests are sent")
                .default_value("1min")
                .value_parser(period::parse),
        )
        .arg(
            option("timeout", "Longest time for one request")
                .default_value("1min")
                .value_parser(period::parse),
        )
        .arg(flag("plain", "Answers are not streamed"))
        .arg(flag("chat", "Requests are conversations"))
        .arg(flag("json", "Prints the results as JSON"))
}

pub(super) fn commands() -> [Command; 3] {
    let load = Command::new("load")
        .about("Sends a seeded mix of requests and measures the answers")
        .arg(
            target("target", "Where requests are sent; may be repeated")
                .required(true)
                .action(ArgAction::Append),
        )
        .arg(
            option("weight", "FROM:KIND=WEIGHT, such as 60s:review=0.5")
                .action(ArgAction::Append)
                .value_parser(value_parser!(Change<Weight>)),
        )
        .arg(
            option("profile", "FROM:KIND=CLASS,PROMPT,OUTPUT,TARGET")
                .action(ArgAction::Append)
                .value_parser(value_parser!(Change<Profile>)),
        )
        .arg(
            option("print-path", "Path of the print order")
                .default_value("/v1/services/labels/print"),
        )
        .arg(
            target("service", "Service stand-in to compare executions with")
                .action(ArgAction::Append),
        );
    let overhead = Command::new("overhead")
        .about("Measures the latency that an entry adds, alternating within one run")
        .arg(target("direct", "Engine stand-in at speed 0").required(true))
        .arg(target("entry", "Entry in front of it").required(true));
    let stream = Command::new("stream")
        .about("Measures the tokens per second through one target")
        .arg(target("target", "Where requests are sent").required(true))
        .arg(
            option("streams", "Streams that are open at the same time")
                .default_value("64")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("output", "Length of each answer")
                .default_value("1000 tokens")
                .value_parser(value_parser!(Tokens)),
        );
    [load, overhead, stream].map(common)
}

pub(super) fn config(args: &ArgMatches) -> Config {
    Config {
        model: value(args, "model"),
        bearer: args.get_one("bearer").cloned(),
        seed: value(args, "seed"),
        rate: value(args, "rate"),
        count: value(args, "count"),
        duration: value::<Duration>(args, "duration"),
        timeout: value::<Duration>(args, "timeout"),
        stream: !args.get_flag("plain"),
        chat: args.get_flag("chat"),
        ..Config::default()
    }
}

fn all<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Vec<T> {
    let found = args.get_many::<T>(name);
    found.map(|all| all.cloned().collect()).unwrap_or_default()
}

/// The settings of `load`, with targets, mixes and services.
pub(super) fn load_config(args: &ArgMatches) -> Config {
    Config {
        targets: all(args, "target"),
        mixes: mixes(
            &all::<Change<Weight>>(args, "weight"),
            &all::<Change<Profile>>(args, "profile"),
        ),
        print_path: value(args, "print-path"),
        services: all(args, "service"),
        ..config(args)
    }
}

fn show(args: &ArgMatches, result: &(impl Display + Serialize)) -> Result<()> {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(result)?);
    } else {
        println!("{result}");
    }
    Ok(())
}

pub(super) async fn load(args: &ArgMatches) -> Result<bool> {
    let (summary, _) = load::run(load_config(args)).await?;
    show(args, &summary)?;
    Ok(summary.is_sound())
}

pub(super) async fn overhead(args: &ArgMatches) -> Result<bool> {
    let (direct, entry) = (value(args, "direct"), value(args, "entry"));
    let result = load::overhead(config(args), direct, entry).await?;
    show(args, &result)?;
    Ok(result.direct.wrong + result.entry.wrong == 0)
}

pub(super) async fn stream(args: &ArgMatches) -> Result<bool> {
    let config = Config {
        targets: vec![value(args, "target")],
        ..config(args)
    };
    let result = load::stream(config, value(args, "streams"), value(args, "output")).await?;
    show(args, &result)?;
    Ok(result.other == 0)
}
