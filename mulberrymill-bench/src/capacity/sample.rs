use std::{fs, time::Instant};

use serde::Serialize;

use super::Result;

/// Clock ticks per second in `/proc/PID/stat`, `USER_HZ` of Linux on all usual platforms.
const TICKS: f64 = 100.0;

/// What the kernel says about a process at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    at: Instant,
    /// User and system time in clock ticks.
    ticks: u64,
    /// Time on a processor in nanoseconds, summed over its threads.
    nanos: u64,
    /// Resident memory in KiB.
    rss: u64,
    /// Private anonymous part of it in KiB.
    anonymous: u64,
}

/// What a process used in a window.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Usage {
    /// Length of the window in seconds.
    pub seconds: f64,
    /// Share of one core, from the clock ticks of `/proc/PID/stat`.
    pub core_ticks: f64,
    /// Share of one core, from the nanoseconds of `/proc/PID/task/*/schedstat`.
    pub core: f64,
    /// Resident memory at the end in KiB.
    pub rss_kib: u64,
    /// Private anonymous memory at the end in KiB.
    pub anonymous_kib: u64,
}

impl Sample {
    pub(super) fn take(pid: u32) -> Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let mut nanos = 0;
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            // A thread may end between the two calls.
            if let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) {
                nanos += first_number(&text);
            }
        }
        Ok(Self {
            at: Instant::now(),
            ticks: ticks(&fs::read_to_string(format!("/proc/{pid}/stat"))?)?,
            nanos,
            rss: field(&status, "VmRSS:"),
            anonymous: field(&status, "RssAnon:"),
        })
    }

    /// Processor time since an earlier sample, in seconds.
    pub(super) fn busy_since(&self, earlier: &Self) -> f64 {
        seconds(self.nanos.saturating_sub(earlier.nanos))
    }

    pub(super) fn elapsed_since(&self, earlier: &Self) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64()
    }

    pub(super) fn since(&self, earlier: &Self) -> Usage {
        let window = self.elapsed_since(earlier);
        let ticks = self.ticks.saturating_sub(earlier.ticks);
        Usage {
            seconds: window,
            core_ticks: f64::from(u32::try_from(ticks).unwrap_or(u32::MAX)) / TICKS / window,
            core: self.busy_since(earlier) / window,
            rss_kib: self.rss,
            anonymous_kib: self.anonymous,
        }
    }
}

fn seconds(nanos: u64) -> f64 {
    std::time::Duration::from_nanos(nanos).as_secs_f64()
}

fn first_number(text: &str) -> u64 {
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}

/// User and system time of a line of `/proc/PID/stat`. The name of the process may hold spaces and
/// parentheses, so the fields are counted from the last parenthesis.
pub(super) fn ticks(stat: &str) -> Result<u64> {
    let (_name, rest) = stat.rsplit_once(')').ok_or("no process name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let (user, system) = (fields.get(11), fields.get(12));
    Ok(user.ok_or("no user time")?.parse::<u64>()?
        + system.ok_or("no system time")?.parse::<u64>()?)
}

/// A field of `/proc/PID/status` in KiB; 0 if it is missing.
pub(super) fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.map(first_number).unwrap_or_default()
}
