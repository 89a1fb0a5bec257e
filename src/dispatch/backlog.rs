use std::collections::BTreeMap;

use crate::unit::Tokens;

/// Prompt tokens waiting for prefill at an endpoint, by priority rank. Rank 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog(BTreeMap<u8, u64>);

impl Backlog {
    /// Adds the prompt tokens of a request with this rank.
    pub fn add(&mut self, rank: u8, tokens: Tokens) {
        if tokens > Tokens::ZERO {
            let waiting = self.0.entry(rank).or_default();
            *waiting = waiting.saturating_add(tokens.get());
        }
    }

    /// Subtracts tokens that were added with the same rank. Saturates at 0.
    pub fn subtract(&mut self, rank: u8, tokens: Tokens) {
        if let Some(left) = self.0.get_mut(&rank) {
            *left = left.saturating_sub(tokens.get());
            if *left == 0 {
                self.0.remove(&rank);
            }
        }
    }

    /// Returns the tokens of requests that are at least as urgent as `rank`, then the tokens of
    /// all less urgent requests.
    #[must_use]
    pub fn split(&self, rank: u8) -> (u64, u64) {
        let sum = |urgent, (_, tokens): (&u8, &u64)| u64::saturating_add(urgent, *tokens);
        let urgent = self.0.range(..=rank).fold(0, sum);
        let total = self.0.iter().fold(0, sum);
        (urgent, total - urgent)
    }

    /// Iterates over the ranks with waiting tokens, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (u8, Tokens)> {
        self.0
            .iter()
            .map(|(rank, tokens)| (*rank, Tokens::new(*tokens)))
    }
}
