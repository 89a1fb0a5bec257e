use std::{fs, time::Duration};

use clap::{ArgMatches, Command};
use mulberrymill::unit::{Rate, Tokens};
use serde_json::{Value, json};

use super::imp::Result;
use crate::{
    fleet::{self, CALLER_KEY, Fleet, MODEL, Process},
    load::{self, Config, Target},
};

/// Combined rate of direct and routed requests, 1,000 per second each.
const OVERHEAD_REQUESTS_PER_SECOND: f64 = 2_000.0;
/// Combined number of direct and routed requests.
const OVERHEAD_REQUESTS: u64 = 20_000;
/// Concurrent streams.
const STREAMS: usize = 64;
/// Output tokens of each stream.
const STREAM_TOKENS: Tokens = Tokens::new(4_000);
/// Requests in the stream measurement.
const STREAM_REQUESTS: u64 = 128;
/// Window in which idle processes are measured.
const IDLE_WINDOW: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/PID/stat`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

pub(super) fn command() -> Command {
    Command::new("measure").about(
        "Measures the latency, throughput and idle cost of a deployment and prints them as JSON",
    )
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
    let routed = target(&format!("http://{}", fleet.entries[0].address()))?;
    let overhead = Config {
        rate: Rate::new(OVERHEAD_REQUESTS_PER_SECOND),
        count: OVERHEAD_REQUESTS,
        ..config()?
    };
    let overhead = load::overhead(overhead, direct, routed.clone()).await?;
    let stream = Config {
        targets: vec![routed],
        count: STREAM_REQUESTS,
        ..config()?
    };
    let before = ticks(&fleet.entries[0])?;
    let stream = load::stream(stream, STREAMS, STREAM_TOKENS).await?;
    let busy = (ticks(&fleet.entries[0])? - before) / TICKS_PER_SECOND;
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

/// Measures CPU usage and memory of an entry and two agents without requests.
async fn idle(fleet: &Fleet) -> Result<Value> {
    let processes = [&fleet.entries[0], &fleet.agents[0], &fleet.agents[1]];
    let mut before = Vec::new();
    for process in processes {
        before.push(ticks(process)?);
    }
    tokio::time::sleep(IDLE_WINDOW).await;
    let mut rows = Vec::new();
    for (process, before) in processes.into_iter().zip(before) {
        let share = (ticks(process)? - before) / TICKS_PER_SECOND / IDLE_WINDOW.as_secs_f64();
        rows.push(json!({
            "process": process.name(),
            "core_share_percent": share * 100.0,
            "resident_mib": resident_kib(process)? / 1024.0,
        }));
    }
    Ok(json!(rows))
}

fn proc_file(process: &Process, name: &str) -> Result<String> {
    let pid = process.pid().ok_or("the process has ended")?;
    Ok(fs::read_to_string(format!("/proc/{pid}/{name}"))?)
}

/// CPU time of a process so far, in clock ticks.
fn ticks(process: &Process) -> Result<f64> {
    let stat = proc_file(process, "stat")?;
    // The process name in parentheses may contain spaces; user and system time are the 12th and
    // 13th fields after it.
    let fields = stat
        .rsplit(')')
        .next()
        .ok_or("/proc/PID/stat has no process name")?;
    let times: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse().ok())
        .collect();
    Ok(times.iter().sum())
}

/// Resident memory in KiB.
fn resident_kib(process: &Process) -> Result<f64> {
    let status = proc_file(process, "status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("/proc/PID/status has no VmRSS")?.parse()?)
}
