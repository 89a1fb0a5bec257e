use mulberrymill::{
    id::Model,
    unit::{Bytes, Tokens},
};

/// Length of every token of prompt and answer, in bytes. A fixed length makes the token at a byte
/// offset known without generating the ones before it.
pub const TOKEN_BYTES: u64 = 4;

/// FNV-1a, 64 bits: stable between runs and machines, unlike the hasher of the standard library.
pub(super) fn hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(seed ^ 0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

/// Finalizer of `SplitMix64`, which spreads neighbouring inputs.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The answer of a model to a prompt: without end, the same on every engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Text {
    seed: u64,
}

impl Text {
    /// The answer that belongs to `model` and `prompt`.
    #[must_use]
    pub fn new(model: &Model, prompt: &str) -> Self {
        let seed = hash(hash(0, model.as_str().as_bytes()), prompt.as_bytes());
        Self { seed }
    }

    /// The bytes of the answer from `from` up to `to`.
    #[must_use]
    pub fn slice(self, from: Bytes, to: Bytes) -> String {
        (from.get()..to.get())
            .map(|at| self.letter(at / TOKEN_BYTES, at % TOKEN_BYTES))
            .collect()
    }

    /// The first `tokens` tokens of the answer.
    #[must_use]
    pub fn whole(self, tokens: Tokens) -> String {
        self.slice(Bytes::ZERO, Bytes::new(tokens.get() * TOKEN_BYTES))
    }

    fn letter(self, token: u64, place: u64) -> char {
        if place == 0 {
            return ' ';
        }
        let word = mix(self
            .seed
            .wrapping_add(token.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let letter = u8::try_from((word >> (8 * place)) % 26).unwrap_or(0);
        char::from(b'a' + letter)
    }
}

/// Number of tokens of a prompt.
#[must_use]
pub fn tokens(prompt: &str) -> Tokens {
    Tokens::new((prompt.len() as u64).div_ceil(TOKEN_BYTES).max(1))
}

/// The prompt text that a conversation stands for.
pub fn conversation<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        for part in [role, ": ", content, "\n"] {
            prompt.push_str(part);
        }
    }
    prompt
}
