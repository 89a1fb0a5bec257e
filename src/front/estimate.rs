use std::hash::{DefaultHasher, Hasher};

use crate::{
    routing::Prefix,
    unit::Tokens,
    wire::{Message, Prompt},
};

/// Estimated bytes of text per token. Tokenizers of current models average three to five.
const BYTES_PER_TOKEN: usize = 4;
/// Size of a prefix block in bytes: 64 tokens, which spans a few blocks of a typical KV cache.
const BLOCK_BYTES: usize = 64 * BYTES_PER_TOKEN;
/// Maximum number of hashed blocks. Longer prefixes are rarely shared.
const MAX_BLOCKS: usize = 64;

/// Estimates the number of tokens of a prompt from its length in bytes; at least 1.
#[must_use]
pub fn tokens(prompt: &Prompt) -> Tokens {
    let bytes = parts(prompt).map(str::len).sum::<usize>();
    Tokens::new(bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}

/// Hashes the prefix of a prompt in blocks of 256 bytes, at most 64 of them.
///
/// Each hash covers the prompt up to the end of its block. An incomplete last block is ignored.
#[must_use]
pub fn prefix(prompt: &Prompt) -> Prefix {
    let mut hasher = DefaultHasher::new();
    let mut blocks = Vec::new();
    let mut missing = BLOCK_BYTES;
    for part in parts(prompt) {
        let mut rest = part.as_bytes();
        while blocks.len() < MAX_BLOCKS && rest.len() >= missing {
            let (block, tail) = rest.split_at(missing);
            hasher.write(block);
            blocks.push(hasher.finish());
            rest = tail;
            missing = BLOCK_BYTES;
        }
        if blocks.len() == MAX_BLOCKS {
            break;
        }
        hasher.write(rest);
        missing -= rest.len();
    }
    Prefix(blocks)
}

/// Returns the texts of a prompt in order, with the roles, which are part of the cached prefix.
fn parts(prompt: &Prompt) -> Box<dyn Iterator<Item = &str> + '_> {
    match prompt {
        Prompt::Text(text) => Box::new(std::iter::once(text.as_str())),
        Prompt::Chat(messages) => Box::new(messages.iter().flat_map(role_and_content)),
    }
}

fn role_and_content(message: &Message) -> [&str; 2] {
    [&message.role, &message.content]
}
