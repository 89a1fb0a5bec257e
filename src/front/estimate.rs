use std::hash::{DefaultHasher, Hasher};

use crate::{
    routing::Prefix,
    unit::Tokens,
    wire::{Message, Prompt},
};

/// Bytes of text per token, for estimates. Tokenizers of current models average three to five.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of a prefix block: 64 tokens, a few blocks of a usual KV cache.
const BLOCK: usize = 64 * BYTES_PER_TOKEN;
/// Most blocks that are hashed. Longer prefixes are rarely shared.
const BLOCKS_MAX: usize = 64;

/// Estimates the tokens of a prompt from its length.
#[must_use]
pub fn tokens(prompt: &Prompt) -> Tokens {
    let bytes = parts(prompt).map(str::len).sum::<usize>();
    Tokens::new(bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}

/// Hashes the leading blocks of a prompt; an incomplete last block is left out.
#[must_use]
pub fn prefix(prompt: &Prompt) -> Prefix {
    let mut hasher = DefaultHasher::new();
    let mut blocks = Vec::new();
    let mut room = BLOCK;
    for part in parts(prompt) {
        let mut rest = part.as_bytes();
        while blocks.len() < BLOCKS_MAX && rest.len() >= room {
            let (block, after) = rest.split_at(room);
            hasher.write(block);
            blocks.push(hasher.finish());
            rest = after;
            room = BLOCK;
        }
        if blocks.len() == BLOCKS_MAX {
            break;
        }
        hasher.write(rest);
        room -= rest.len();
    }
    Prefix(blocks)
}

/// The texts of a prompt in order, with the roles, since they are a part of the cached prefix.
fn parts(prompt: &Prompt) -> Box<dyn Iterator<Item = &str> + '_> {
    match prompt {
        Prompt::Text(text) => Box::new(std::iter::once(text.as_str())),
        Prompt::Chat(messages) => Box::new(messages.iter().flat_map(texts)),
    }
}

fn texts(message: &Message) -> [&str; 2] {
    [&message.role, &message.content]
}
