use std::time::Duration;

use mulberrymill::{
    id,
    unit::{Rate, Share, Tokens},
    wire::Role,
};

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models that are loaded at the start and after a crash; default none.
    pub models: Vec<id::Model>,
    /// Role at the start and after a crash; default [`Role::Mixed`].
    pub role: Role,
    /// Speed factor; default 1. It divides the durations of steps, role changes and model loading,
    /// which are zero at 0, but not the delays of reports and events.
    pub speed: f64,
    /// Prompt tokens processed per second; default 8000.
    pub prefill_rate: Rate,
    /// Fixed part of the duration of a decode step; default 12 ms.
    pub step: Duration,
    /// Time that each sequence adds to a decode step; default 0.5 ms.
    pub step_per_sequence: Duration,
    /// Maximum number of sequences in a batch; default 32.
    pub batch: usize,
    /// Capacity of the KV cache, in blocks; default 1000.
    pub blocks: u64,
    /// Tokens per KV block; default 64.
    pub block: Tokens,
    /// Duration of a role change, during which no request makes progress and none is accepted;
    /// default 4 s.
    pub role_change: Duration,
    /// Duration of loading a model, during which requests are served; default 6 s.
    pub model_load: Duration,
    /// Whether orders with a stale fencing number are refused; default true.
    pub fenced: bool,
    /// Delay of the load reports; default 500 ms.
    pub load_lag: Duration,
    /// Delay of the cache events; default 500 ms.
    pub event_lag: Duration,
    /// Share of the cache events that is lost; default 0.02.
    pub event_loss: Share,
    /// Seed of the random event losses; default 1.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            role: Role::Mixed,
            speed: 1.0,
            prefill_rate: Rate::new(8_000.0),
            step: Duration::from_millis(12),
            step_per_sequence: Duration::from_micros(500),
            batch: 32,
            blocks: 1_000,
            block: Tokens::new(64),
            role_change: Duration::from_secs(4),
            model_load: Duration::from_secs(6),
            fenced: true,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: Share::new(0.02),
            seed: 1,
        }
    }
}

/// How a role divides capacity between prefill and decode.
#[derive(Clone, Copy, Debug)]
pub(super) struct Profile {
    /// Factor on the prefill rate.
    pub prefill_factor: f64,
    /// Factor on the duration of a decode step.
    pub step_factor: f64,
    /// Maximum number of prompt tokens per step.
    pub prefill_budget: u64,
}

pub(super) const fn profile(role: Role) -> Profile {
    match role {
        Role::Mixed => Profile {
            prefill_factor: 1.0,
            step_factor: 1.0,
            prefill_budget: 512,
        },
        Role::Prefill => Profile {
            prefill_factor: 1.6,
            step_factor: 2.0,
            prefill_budget: 2_048,
        },
        Role::Decode => Profile {
            prefill_factor: 0.4,
            step_factor: 0.75,
            prefill_budget: 128,
        },
    }
}
