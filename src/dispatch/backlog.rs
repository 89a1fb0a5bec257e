use std::collections::BTreeMap;

use crate::unit::Tokens;

/// Prompt tokens that an endpoint has not read, by the rank of their requests. 0 is most urgent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog(BTreeMap<u8, u64>);

impl Backlog {
    /// Adds tokens of a request.
    pub fn add(&mut self, rank: u8, tokens: Tokens) {
        if tokens > Tokens::ZERO {
            *self.0.entry(rank).or_default() += tokens.get();
        }
    }

    /// Takes off tokens that were added.
    pub fn take(&mut self, rank: u8, tokens: Tokens) {
        if let Some(left) = self.0.get_mut(&rank) {
            *left = left.saturating_sub(tokens.get());
            if *left == 0 {
                self.0.remove(&rank);
            }
        }
    }

    /// Tokens of requests that are at least as urgent as `rank`, and those of all others.
    #[must_use]
    pub fn split(&self, rank: u8) -> (u64, u64) {
        let urgent = self.0.range(..=rank).map(|(_, tokens)| tokens).sum();
        let total: u64 = self.0.values().sum();
        (urgent, total - urgent)
    }

    /// Ranks and their tokens.
    pub fn iter(&self) -> impl Iterator<Item = (u8, Tokens)> {
        self.0
            .iter()
            .map(|(rank, tokens)| (*rank, Tokens::new(*tokens)))
    }
}
