use std::fmt;

use mulberrymill::{
    id::Model,
    unit::{Bytes, Tokens},
};
use serde::{Deserialize, Serialize};

use super::text::{TOKEN_BYTES, Text, hash, tokens};

/// A request inside an engine, chosen by the caller of [`super::Model`] and unique within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job(u64);

impl Job {
    /// Wraps a number.
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

/// A full KV block of a prompt, named by the chained hash of the prompt up to its end and written
/// as 16 hexadecimal digits. Equal blocks mean equal prefixes.
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

/// Text generation as an engine is asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generate {
    /// The model.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Length of the answer.
    pub output: Tokens,
    /// Bytes of the answer to skip.
    pub resume: Bytes,
    /// Lower is more urgent.
    pub priority: u8,
}

/// How far a sequence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Prefill,
    Decode,
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub job: Job,
    pub text: Text,
    pub prompt: u64,
    /// Chained hashes of the full blocks of the prompt.
    pub hashes: Vec<u64>,
    pub total: u64,
    /// Token that is generated next.
    pub next: u64,
    /// Bytes of the answer that were delivered.
    pub sent: u64,
    pub priority: u8,
    pub arrival: u64,
    pub phase: Phase,
    /// Tokens still to prefill.
    pub left: u64,
    /// Shared blocks held, from the start of `hashes`.
    pub held: usize,
    pub private: u64,
    pub break_at: Option<u64>,
}

impl Sequence {
    pub fn new(job: Job, work: &Generate, block: Tokens, arrival: u64) -> Self {
        let hashes = block_hashes(&work.model, &work.prompt, block);
        Self {
            job,
            text: Text::new(&work.model, &work.prompt),
            prompt: tokens(&work.prompt).get(),
            hashes,
            total: work.output.get(),
            next: work.resume.get() / TOKEN_BYTES,
            sent: work.resume.get(),
            priority: work.priority,
            arrival,
            phase: Phase::Waiting,
            left: 0,
            held: 0,
            private: 0,
            break_at: None,
        }
    }

    /// Order of service: most urgent first, then first come.
    pub const fn rank(&self) -> (u8, u64) {
        (self.priority, self.arrival)
    }

    /// Blocks that the sequence needs to hold `tokens` tokens.
    pub fn blocks(&self, block: Tokens) -> u64 {
        (self.prompt + self.next + 1).div_ceil(block.get())
    }

    /// Blocks that the whole sequence needs at its end.
    pub fn most_blocks(&self, block: Tokens) -> u64 {
        (self.prompt + self.total + 1).div_ceil(block.get())
    }
}

/// Chained hashes of the full blocks of a prompt: equal hashes mean equal prefixes.
pub(super) fn block_hashes(model: &Model, prompt: &str, block: Tokens) -> Vec<u64> {
    let width = usize::try_from(block.get() * TOKEN_BYTES).unwrap_or(usize::MAX);
    let mut sum = hash(1, model.as_str().as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(width.max(1))
        .map(|bytes| {
            sum = hash(sum, bytes);
            sum
        })
        .collect()
}
