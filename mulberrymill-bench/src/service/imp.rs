use std::{collections::BTreeMap, time::Duration};

use mulberrymill::id::{Key, Operation};
use serde::{Deserialize, Serialize};

/// Configuration of a service stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Duration of an operation, 20 ms by default.
    pub delay: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(20),
        }
    }
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// The next operation is executed, but its response is lost.
    LoseNextAnswer,
    /// The next `count` operations are refused with status 503 and not executed.
    Refuse {
        /// Number of operations to refuse; 0 ends the fault.
        count: u32,
    },
    /// Operations take `factor` times as long.
    Slow {
        /// Factor from 0 to 1,000,000; 1 ends the fault.
        factor: f64,
    },
    /// Closes all connections and refuses new ones until [`Fault::Up`]. Operations in progress are
    /// executed, but their responses are lost.
    Down,
    /// Ends [`Fault::Down`].
    Up,
}

/// Result of an executed operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The operation was executed; holds the number of executions with this key so far, at least 1.
    Ran(u64),
    /// The operation was executed, but its response must be lost.
    Lost,
}

/// State of a service, independent of HTTP.
#[derive(Debug)]
pub struct ServiceState {
    config: Config,
    executions: BTreeMap<String, u64>,
    in_progress: usize,
    lose_next: bool,
    refusals_left: u32,
    slow_factor: f64,
}

impl ServiceState {
    /// Creates a service without executions or faults.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            executions: BTreeMap::new(),
            in_progress: 0,
            lose_next: false,
            refusals_left: 0,
            slow_factor: 1.0,
        }
    }

    /// Begins an operation and returns its duration, or `None` if it is refused.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.refusals_left > 0 {
            self.refusals_left -= 1;
            return None;
        }
        self.in_progress += 1;
        Some(self.config.delay.mul_f64(self.slow_factor))
    }

    /// Executes an operation that [`begin`](Self::begin) has accepted.
    pub fn execute(&mut self, operation: &Operation, key: Option<&Key>) -> Outcome {
        self.in_progress = self.in_progress.saturating_sub(1);
        let key = key.map_or("-", Key::as_str);
        let count = self
            .executions
            .entry(format!("{operation}/{key}"))
            .or_default();
        *count += 1;
        if std::mem::take(&mut self.lose_next) {
            return Outcome::Lost;
        }
        Outcome::Ran(*count)
    }

    /// Injects a fault. [`Fault::Down`] and [`Fault::Up`] concern only the port and have no effect
    /// here.
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::LoseNextAnswer => self.lose_next = true,
            Fault::Refuse { count } => self.refusals_left = count,
            Fault::Slow { factor } => self.slow_factor = factor.clamp(0.0, 1e6),
            Fault::Down | Fault::Up => {}
        }
    }

    /// Number of executions by `operation/key`; those without a key count under `operation/-`.
    #[must_use]
    pub const fn executions(&self) -> &BTreeMap<String, u64> {
        &self.executions
    }

    /// Operations that have begun and are not yet executed.
    #[must_use]
    pub const fn in_progress(&self) -> usize {
        self.in_progress
    }
}
