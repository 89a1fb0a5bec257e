use mulberrymill::{
    id::Model,
    unit::{Bytes, Tokens},
};

/// Size of every prompt and answer token, in bytes. The fixed size maps a byte offset to a token
/// without generating the preceding ones.
pub const TOKEN_BYTES: u64 = 4;

/// 64-bit FNV-1a hash. Unlike the hasher of the standard library, it is stable between runs and
/// machines.
pub(super) fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(seed ^ 0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

/// `SplitMix64` finalizer; maps consecutive inputs to uncorrelated outputs.
const fn splitmix64(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Deterministic, unbounded answer of a model to a prompt; the same on every engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Text {
    seed: u64,
}

impl Text {
    /// Derives the answer from the model name and the prompt.
    #[must_use]
    pub fn new(model: &Model, prompt: &str) -> Self {
        let seed = fnv1a(fnv1a(0, model.as_str().as_bytes()), prompt.as_bytes());
        Self { seed }
    }

    /// Bytes `from..to` of the answer.
    #[must_use]
    pub fn slice(self, from: Bytes, to: Bytes) -> String {
        (from.get()..to.get())
            .map(|at| self.character(at / TOKEN_BYTES, at % TOKEN_BYTES))
            .collect()
    }

    /// First `tokens` tokens of the answer.
    #[must_use]
    pub fn whole(self, tokens: Tokens) -> String {
        self.slice(Bytes::ZERO, Bytes::new(tokens.get() * TOKEN_BYTES))
    }

    fn character(self, token: u64, position: u64) -> char {
        if position == 0 {
            return ' ';
        }
        let random = splitmix64(
            self.seed
                .wrapping_add(token.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        );
        let character = u8::try_from((random >> (8 * position)) % 26).unwrap_or(0);
        char::from(b'a' + character)
    }
}

/// Number of tokens of a prompt, rounded up; at least 1.
#[must_use]
pub fn tokens(prompt: &str) -> Tokens {
    Tokens::new((prompt.len() as u64).div_ceil(TOKEN_BYTES).max(1))
}

/// Converts chat messages, given as pairs of role and content, to a prompt.
pub fn conversation<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        for part in [role, ": ", content, "\n"] {
            prompt.push_str(part);
        }
    }
    prompt
}
