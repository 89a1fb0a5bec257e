use std::{fs, time::Duration};

use clap::{ArgMatches, Command};
use mulberrymill::unit::{Rate, Tokens};
use serde_json::{Value, json};

use super::imp::Result;
use crate::{
    fleet::{self, CALLER_KEY, Fleet, MODEL, Process},
    load::{self, Config, Target},
};

/// Rate of both ways together, so that each has 1,000 requests a second.
const OVERHEAD_RATE: f64 = 2_000.0;
/// Requests of both ways together.
const OVERHEAD_COUNT: u64 = 20_000;
/// Streams that are open at the same time.
const STREAMS: usize = 64;
/// Length of each stream.
const STREAM_OUTPUT: Tokens = Tokens::new(4_000);
/// Requests of the stream measurement.
const STREAM_COUNT: u64 = 128;
/// Time over which the idle processes are watched.
const IDLE: Duration = Duration::from_secs(20);
/// Clock ticks per second of /proc, fixed on Linux.
const TICKS: f64 = 100.0;

pub(super) fn command() -> Command {
    Command::new("measure")
        .about("Measures the latency, throughput and idle cost of the path in one run, as JSON")
}

pub(super) async fn run(_args: &ArgMatches) -> Result<bool> {
    let fleet = fleet::spawn(fleet::Config {
        entries: 1,
        engines: 1,
        services: 1,
        speed: 0.0,
        ..fleet::Config::default()
    })
    .await?;
    let idle = idle(&fleet).await?;
    let direct = target(&format!("http://{}", fleet.engines[0].address()))?;
    let through = target(&format!("http://{}", fleet.entries[0].address()))?;
    let overhead = Config {
        rate: Rate::new(OVERHEAD_RATE),
        count: OVERHEAD_COUNT,
        ..config()?
    };
    let overhead = load::overhead(overhead, direct, through.clone()).await?;
    let stream = Config {
        targets: vec![through],
        count: STREAM_COUNT,
        ..config()?
    };
    let before = ticks(&fleet.entries[0])?;
    let stream = load::stream(stream, STREAMS, STREAM_OUTPUT).await?;
    let busy = (ticks(&fleet.entries[0])? - before) / TICKS;
    let report = json!({
        "idle": idle,
        "overhead": overhead,
        "stream": stream,
        "entry_cpu_seconds_while_streaming": busy,
    });
    println!("{report:#}");
    Ok(true)
}

fn config() -> Result<Config> {
    Ok(Config {
        model: MODEL.parse()?,
        bearer: Some(CALLER_KEY.to_owned()),
        duration: Duration::from_mins(1),
        ..Config::default()
    })
}

fn target(url: &str) -> Result<Target> {
    Ok(url.parse()?)
}

/// Watches the processes while nothing is requested.
async fn idle(fleet: &Fleet) -> Result<Value> {
    let processes = [&fleet.entries[0], &fleet.agents[0], &fleet.agents[1]];
    let mut before = Vec::new();
    for process in processes {
        before.push(ticks(process)?);
    }
    tokio::time::sleep(IDLE).await;
    let mut rows = Vec::new();
    for (process, before) in processes.into_iter().zip(before) {
        let share = (ticks(process)? - before) / TICKS / IDLE.as_secs_f64();
        rows.push(json!({
            "process": process.name(),
            "core_share_percent": share * 100.0,
            "resident_mib": resident(process)? / 1024.0,
        }));
    }
    Ok(json!(rows))
}

fn proc_file(process: &Process, name: &str) -> Result<String> {
    let pid = process.pid().ok_or("the process has ended")?;
    Ok(fs::read_to_string(format!("/proc/{pid}/{name}"))?)
}

/// Processor time used so far, in ticks.
fn ticks(process: &Process) -> Result<f64> {
    let stat = proc_file(process, "stat")?;
    // The name in parentheses may contain spaces; user and system time are the 12th and 13th
    // fields after it.
    let fields = stat.rsplit(')').next().ok_or("unexpected format of stat")?;
    let times: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse().ok())
        .collect();
    Ok(times.iter().sum())
}

/// Resident memory in KiB.
fn resident(process: &Process) -> Result<f64> {
    let status = proc_file(process, "status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no resident memory in status")?.parse()?)
}
