use std::time::Duration;

use mulberrymill::{
    id,
    unit::{Rate, Share, Tokens},
    wire::Role,
};

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models that are loaded at the start.
    pub models: Vec<id::Model>,
    /// Role at the start.
    pub role: Role,
    /// Speed of the model; 1 is the speed of the other settings, 0 takes no time at all.
    pub speed: f64,
    /// Prompt tokens processed per second.
    pub prefill_rate: Rate,
    /// Time of a decode step without its sequences.
    pub step: Duration,
    /// Time that each sequence adds to a decode step.
    pub step_per_sequence: Duration,
    /// Most sequences in a batch.
    pub batch: usize,
    /// KV blocks.
    pub blocks: u64,
    /// Tokens per KV block.
    pub block: Tokens,
    /// Time that a role change takes. No request makes progress and none is accepted meanwhile.
    pub role_change: Duration,
    /// Time that loading a model takes. Serving goes on.
    pub model_load: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Age of the load reports.
    pub load_lag: Duration,
    /// Delay of the cache events.
    pub event_lag: Duration,
    /// Part of the cache events that is lost.
    pub event_loss: Share,
    /// Seed of the losses.
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

/// How a role shifts capacity between prompts and output.
#[derive(Clone, Copy, Debug)]
pub(super) struct Profile {
    /// Factor on the prefill rate.
    pub prefill: f64,
    /// Factor on the time of a decode step.
    pub step: f64,
    /// Most prompt tokens per step.
    pub chunk: u64,
}

pub(super) const fn profile(role: Role) -> Profile {
    match role {
        Role::Mixed => Profile {
            prefill: 1.0,
            step: 1.0,
            chunk: 512,
        },
        Role::Prefill => Profile {
            prefill: 1.6,
            step: 2.0,
            chunk: 2_048,
        },
        Role::Decode => Profile {
            prefill: 0.4,
            step: 0.75,
            chunk: 128,
        },
    }
}
