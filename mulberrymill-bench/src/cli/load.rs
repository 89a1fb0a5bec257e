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

fn with_common_args(command: Command) -> Command {
    command
        .arg(
            option("model", "Model named in the requests")
                .default_value("m")
                .value_parser(value_parser!(Model)),
        )
        .arg(option("bearer", "Bearer key of the caller"))
        .arg(
            option(
                "seed",
                "Seed of the request plan; also part of every idempotency key",
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
            option("count", "Maximum number of requests")
                .default_value("1000")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("duration", "Time during which requests are sent")
                .default_value("1min")
                .value_parser(period::parse),
        )
        .arg(
            option("timeout", "Timeout of one request")
                .default_value("1min")
                .value_parser(period::parse),
        )
        .arg(flag("plain", "Requests responses that are not streamed"))
        .arg(flag(
            "chat",
            "Sends chat completions instead of completions",
        ))
        .arg(flag("json", "Prints the results as JSON"))
}

pub(super) fn commands() -> [Command; 3] {
    let load = Command::new("load")
        .about("Sends a seeded mix of requests and measures the responses")
        .arg(
            target("target", "URL that requests are sent to; may be repeated")
                .required(true)
                .action(ArgAction::Append),
        )
        .arg(
            option(
                "weight",
                "Weight of a kind from an offset on, as FROM:KIND=WEIGHT, such as 60s:review=0.5",
            )
            .action(ArgAction::Append)
            .value_parser(value_parser!(Change<Weight>)),
        )
        .arg(
            option(
                "profile",
                "Profile of a kind from an offset on, as FROM:KIND=CLASS,PROMPT,OUTPUT,TARGET",
            )
            .action(ArgAction::Append)
            .value_parser(value_parser!(Change<Profile>)),
        )
        .arg(
            option("print-path", "Path of the print operation")
                .default_value("/v1/services/labels/print"),
        )
        .arg(
            target(
                "service",
                "Service stand-in whose execution counts are compared with the responses",
            )
            .action(ArgAction::Append),
        );
    let overhead = Command::new("overhead")
        .about("Measures the latency that an entry adds, by alternating direct and routed requests")
        .arg(target("direct", "Engine stand-in at speed 0").required(true))
        .arg(target("entry", "Entry in front of that engine stand-in").required(true));
    let stream = Command::new("stream")
        .about("Measures the tokens per second streamed through one target")
        .arg(target("target", "URL that requests are sent to").required(true))
        .arg(
            option("streams", "Number of concurrent streams")
                .default_value("64")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("output", "Length of each response")
                .default_value("1000 tokens")
                .value_parser(value_parser!(Tokens)),
        );
    [load, overhead, stream].map(with_common_args)
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

fn values<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Vec<T> {
    let found = args.get_many::<T>(name);
    found.map(|all| all.cloned().collect()).unwrap_or_default()
}

/// Configuration of the `load` subcommand: [`config`] with targets, mixes and services.
pub(super) fn load_config(args: &ArgMatches) -> Config {
    Config {
        targets: values(args, "target"),
        mixes: mixes(
            &values::<Change<Weight>>(args, "weight"),
            &values::<Change<Profile>>(args, "profile"),
        ),
        print_path: value(args, "print-path"),
        services: values(args, "service"),
        ..config(args)
    }
}

fn print_result(args: &ArgMatches, result: &(impl Display + Serialize)) -> Result<()> {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(result)?);
    } else {
        println!("{result}");
    }
    Ok(())
}

pub(super) async fn load(args: &ArgMatches) -> Result<bool> {
    let (summary, _) = load::run(load_config(args)).await?;
    print_result(args, &summary)?;
    Ok(summary.is_sound())
}

pub(super) async fn overhead(args: &ArgMatches) -> Result<bool> {
    let (direct, entry) = (value(args, "direct"), value(args, "entry"));
    let result = load::overhead(config(args), direct, entry).await?;
    print_result(args, &result)?;
    Ok(result.direct.wrong + result.entry.wrong == 0)
}

pub(super) async fn stream(args: &ArgMatches) -> Result<bool> {
    let config = Config {
        targets: vec![value(args, "target")],
        ..config(args)
    };
    let result = load::stream(config, value(args, "streams"), value(args, "output")).await?;
    print_result(args, &result)?;
    Ok(result.other == 0)
}
