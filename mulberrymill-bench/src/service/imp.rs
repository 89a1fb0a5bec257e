use std::{collections::BTreeMap, time::Duration};

use mulberrymill::id::{Key, Operation};
use serde::{Deserialize, Serialize};

/// Settings of a service stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time that an operation takes.
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
    /// The next operation runs, but its answer is lost.
    LoseNextAnswer,
    /// The next `count` operations are refused before they run.
    Refuse {
        /// Number of operations.
        count: u32,
    },
    /// Operations take `factor` times as long; 1 ends the fault.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Connections are refused until `up`; operations in progress run, but their answers are lost.
    Down,
    /// Accepts connections again.
    Up,
}

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran for the given time of this key, counted from 1.
    Ran(u64),
    /// It ran and its answer is lost.
    Lost,
}

/// The state of a service without sockets.
#[derive(Debug)]
pub struct Model {
    config: Config,
    executions: BTreeMap<String, u64>,
    in_progress: usize,
    lose_next: bool,
    refuse: u32,
    slow: f64,
}

impl Model {
    /// A service that ran nothing.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            executions: BTreeMap::new(),
            in_progress: 0,
            lose_next: false,
            refuse: 0,
            slow: 1.0,
        }
    }

    /// Begins an operation and returns the time it takes, or `None` if it is refused.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.refuse > 0 {
            self.refuse -= 1;
            return None;
        }
        self.in_progress += 1;
        Some(self.config.delay.mul_f64(self.slow))
    }

    /// Runs an operation that began.
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

    /// Injects a fault. `Down` and `Up` concern the socket only.
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::LoseNextAnswer => self.lose_next = true,
            Fault::Refuse { count } => self.refuse = count,
            Fault::Slow { factor } => self.slow = factor.clamp(0.0, 1e6),
            Fault::Down | Fault::Up => {}
        }
    }

    /// Executions by `operation/key`; operations without a key count under `operation/-`.
    #[must_use]
    pub const fn executions(&self) -> &BTreeMap<String, u64> {
        &self.executions
    }

    /// Operations that began and have not run.
    #[must_use]
    pub const fn in_progress(&self) -> usize {
        self.in_progress
    }
}
