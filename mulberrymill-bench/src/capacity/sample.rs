use std::{fs, time::Instant};

use serde::Serialize;

use super::Result;

/// Clock ticks per second in `/proc/PID/stat`, which is `USER_HZ` on all common Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time and memory of a process at one moment, read from `/proc`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    at: Instant,
    /// User and system time in clock ticks.
    ticks: u64,
    /// CPU time in nanoseconds, summed over the threads.
    nanos: u64,
    /// Resident memory in KiB.
    rss: u64,
    /// Anonymous part of the resident memory in KiB.
    anonymous: u64,
}

/// CPU time and memory of a process in a measurement window.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Usage {
    /// Length of the window in seconds.
    pub seconds: f64,
    /// CPU usage as a fraction of one core, from the clock ticks of `/proc/PID/stat`.
    pub core_ticks: f64,
    /// CPU usage as a fraction of one core, from the nanoseconds of `/proc/PID/task/*/schedstat`.
    pub core: f64,
    /// Resident memory at the end of the window in KiB.
    pub rss_kib: u64,
    /// Anonymous resident memory at the end of the window in KiB.
    pub anonymous_kib: u64,
}

impl Sample {
    pub(super) fn take(pid: u32) -> Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let mut nanos = 0;
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            // A thread may end between listing the directory and reading its file.
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

    /// CPU time since an earlier sample, in seconds.
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
            core_ticks: f64::from(u32::try_from(ticks).unwrap_or(u32::MAX))
                / TICKS_PER_SECOND
                / window,
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

/// Sum of user and system time in clock ticks, from the text of `/proc/PID/stat`. The process name
/// may contain spaces and parentheses, so fields are counted from the last parenthesis.
pub(super) fn ticks(stat: &str) -> Result<u64> {
    let (_name, rest) = stat
        .rsplit_once(')')
        .ok_or("/proc/PID/stat has no process name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let (user, system) = (fields.get(11), fields.get(12));
    Ok(user
        .ok_or("/proc/PID/stat has no user time")?
        .parse::<u64>()?
        + system
            .ok_or("/proc/PID/stat has no system time")?
            .parse::<u64>()?)
}

/// Value of a field of `/proc/PID/status` in KiB, or 0 if it is missing.
pub(super) fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.map(first_number).unwrap_or_default()
}
