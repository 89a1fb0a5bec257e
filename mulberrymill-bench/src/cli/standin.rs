use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use mulberrymill::{
    id::Model,
    unit::{Rate, Share, Tokens, period},
    wire::Role,
};
use serde_json::json;

use super::imp::{Result, value};
use crate::{engine, hosts, service, store};

fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

pub(super) fn commands() -> [Command; 4] {
    [
        engine_command(),
        service_command(),
        hosts_command(),
        store_command(),
    ]
}

fn engine_command() -> Command {
    let time = |name, default, help| option(name, default, help).value_parser(period::parse);
    Command::new("engine")
        .about("Runs an engine stand-in")
        .arg(
            option("model", "m", "Loaded model; may be repeated")
                .action(ArgAction::Append)
                .value_parser(value_parser!(Model)),
        )
        .arg(option("role", "mixed", "Initial role").value_parser(["mixed", "prefill", "decode"]))
        .arg(
            option("speed", "1", "Speed factor; 0 answers without delay")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("prefill-rate", "8000/s", "Prompt tokens per second")
                .value_parser(value_parser!(Rate)),
        )
        .arg(time("step", "12ms", "Base time of a decode step"))
        .arg(
            option(
                "step-per-sequence-us",
                "500",
                "Additional microseconds of a decode step per sequence",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option("batch", "32", "Maximum number of sequences in a batch")
                .value_parser(value_parser!(usize)),
        )
        .arg(option("blocks", "1000", "Number of KV cache blocks").value_parser(value_parser!(u64)))
        .arg(
            option("block", "64 tokens", "Size of a KV cache block")
                .value_parser(value_parser!(Tokens)),
        )
        .arg(time("role-change", "4s", "Duration of a role change"))
        .arg(time("model-load", "6s", "Duration of loading a model"))
        .arg(
            Arg::new("ignore-fences")
                .long("ignore-fences")
                .action(ArgAction::SetTrue)
                .help("Accepts orders with outdated fencing numbers"),
        )
        .arg(time("load-lag", "500ms", "Age of load reports"))
        .arg(time("event-lag", "500ms", "Delay of cache events"))
        .arg(
            option("event-loss", "2%", "Fraction of cache events that are lost")
                .value_parser(value_parser!(Share)),
        )
        .arg(option("seed", "1", "Seed of the event losses").value_parser(value_parser!(u64)))
}

fn service_command() -> Command {
    Command::new("service")
        .about("Runs a plain service stand-in")
        .arg(option("delay", "20ms", "Duration of an operation").value_parser(period::parse))
}

fn store_command() -> Command {
    Command::new("store").about("Runs a store stand-in")
}

fn hosts_command() -> Command {
    Command::new("hosts")
        .about("Runs a host list stand-in")
        .arg(option("lag", "5s", "Delay until a change is visible").value_parser(period::parse))
        .arg(
            Arg::new("host")
                .long("host")
                .action(ArgAction::Append)
                .value_parser(parse_host)
                .help("Live host as HOST:ZONE; may be repeated"),
        )
}

pub(super) fn parse_host(text: &str) -> std::result::Result<hosts::HostRecord, String> {
    let (host, zone) = text.split_once(':').ok_or("expected HOST:ZONE")?;
    Ok(hosts::HostRecord {
        host: host.parse().map_err(|error| format!("{error}"))?,
        zone: zone.parse().map_err(|error| format!("{error}"))?,
        state: hosts::State::Live,
    })
}

pub(super) fn engine_config(args: &ArgMatches) -> engine::Config {
    let models = args.get_many::<Model>("model");
    engine::Config {
        models: models.map(|all| all.cloned().collect()).unwrap_or_default(),
        role: match value::<String>(args, "role").as_str() {
            "prefill" => Role::Prefill,
            "decode" => Role::Decode,
            _ => Role::Mixed,
        },
        speed: value(args, "speed"),
        prefill_rate: value(args, "prefill-rate"),
        step: value(args, "step"),
        step_per_sequence: Duration::from_micros(value(args, "step-per-sequence-us")),
        batch: value(args, "batch"),
        blocks: value(args, "blocks"),
        block: value(args, "block"),
        role_change: value(args, "role-change"),
        model_load: value(args, "model-load"),
        fenced: !args.get_flag("ignore-fences"),
        load_lag: value(args, "load-lag"),
        event_lag: value(args, "event-lag"),
        event_loss: value(args, "event-loss"),
        seed: value(args, "seed"),
    }
}

pub(super) async fn engine(args: &ArgMatches) -> Result<bool> {
    let handle = engine::bind(engine_config(args))?;
    serve("engine", handle.address(), handle.fault_address()).await
}

pub(super) async fn service(args: &ArgMatches) -> Result<bool> {
    let handle = service::bind(service::Config {
        delay: value(args, "delay"),
    })?;
    serve("service", handle.address(), handle.fault_address()).await
}

pub(super) async fn hosts(args: &ArgMatches) -> Result<bool> {
    let hosts = args.get_many::<hosts::HostRecord>("host");
    let handle = hosts::bind(hosts::Config {
        hosts: hosts.map(|all| all.cloned().collect()).unwrap_or_default(),
        lag: value(args, "lag"),
    })?;
    serve("hosts", handle.address(), handle.fault_address()).await
}

pub(super) async fn store(_args: &ArgMatches) -> Result<bool> {
    let handle = store::bind(store::Config::default())?;
    serve("store", handle.address(), handle.address()).await
}

/// Prints the addresses and waits for an interrupt. The caller keeps the handle alive meanwhile.
async fn serve(kind: &str, address: SocketAddr, fault: SocketAddr) -> Result<bool> {
    println!(
        "{}",
        json!({"kind": kind, "address": address, "fault_address": fault})
    );
    tokio::signal::ctrl_c().await?;
    Ok(true)
}
