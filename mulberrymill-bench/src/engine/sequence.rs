use std::fmt;

use mulberrymill::{
    id::Model,
    unit::{Bytes, Tokens},
};
use serde::{Deserialize, Serialize};

use super::text::{TOKEN_BYTES, Text, fnv1a, tokens};

/// Id of a request, assigned by the caller of [`super::Model::submit`]; unique within the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job(u64);

impl Job {
    /// Creates the id with the given number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::str::FromStr for Job {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Id of a full KV block of a prompt: the chained hash of the prompt up to the end of the block,
/// written as 16 hexadecimal digits. Equal ids mean equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Block(pub(super) u64);

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Block {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl From<Block> for String {
    fn from(block: Block) -> Self {
        block.to_string()
    }
}

impl TryFrom<String> for Block {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Request to generate text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generate {
    /// Model that generates; it has to be loaded.
    pub model: Model,
    /// Prompt text; [`super::conversation`] converts chat messages to one.
    pub prompt: String,
    /// Exact length of the answer, including the skipped bytes.
    pub output: Tokens,
    /// Bytes of the answer to skip because the client already has them.
    pub resume: Bytes,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Scheduling state of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Prefill,
    Decode,
}

/// Request that the engine has accepted and not completed.
#[derive(Debug)]
pub(super) struct Sequence {
    pub job: Job,
    pub text: Text,
    pub prompt_tokens: u64,
    /// Chained hashes of the full blocks of the prompt.
    pub hashes: Vec<u64>,
    pub output_tokens: u64,
    /// Index of the next token to generate.
    pub next_token: u64,
    /// Offset in the answer up to which the client has the text.
    pub sent_bytes: u64,
    pub priority: u8,
    /// Number of requests accepted before this one.
    pub arrival: u64,
    pub phase: Phase,
    /// Tokens left to prefill.
    pub prefill_left: u64,
    /// Number of leading blocks of `hashes` that are referenced in the cache.
    pub shared_blocks: usize,
    pub private_blocks: u64,
    /// Offset in the answer at which an injected fault breaks the stream.
    pub break_at: Option<u64>,
}

impl Sequence {
    pub fn new(job: Job, work: &Generate, block_size: Tokens, arrival: u64) -> Self {
        let hashes = block_hashes(&work.model, &work.prompt, block_size);
        Self {
            job,
            text: Text::new(&work.model, &work.prompt),
            prompt_tokens: tokens(&work.prompt).get(),
            hashes,
            output_tokens: work.output.get(),
            next_token: work.resume.get() / TOKEN_BYTES,
            sent_bytes: work.resume.get(),
            priority: work.priority,
            arrival,
            phase: Phase::Waiting,
            prefill_left: 0,
            shared_blocks: 0,
            private_blocks: 0,
            break_at: None,
        }
    }

    /// Sort key of the scheduler: priority, then order of arrival.
    pub const fn scheduling_key(&self) -> (u8, u64) {
        (self.priority, self.arrival)
    }

    /// Number of blocks for the prompt, the generated tokens and the next token.
    pub fn required_blocks(&self, block_size: Tokens) -> u64 {
        (self.prompt_tokens + self.next_token + 1).div_ceil(block_size.get())
    }

    /// Number of blocks that the sequence needs at its end.
    pub fn max_blocks(&self, block_size: Tokens) -> u64 {
        (self.prompt_tokens + self.output_tokens + 1).div_ceil(block_size.get())
    }
}

/// Chained hashes of the full blocks of a prompt. Equal hashes mean equal prefixes.
pub(super) fn block_hashes(model: &Model, prompt: &str, block_size: Tokens) -> Vec<u64> {
    let block_bytes = usize::try_from(block_size.get() * TOKEN_BYTES).unwrap_or(usize::MAX);
    let mut chained = fnv1a(1, model.as_str().as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(block_bytes.max(1))
        .map(|bytes| {
            chained = fnv1a(chained, bytes);
            chained
        })
        .collect()
}
