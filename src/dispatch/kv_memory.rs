use std::collections::BTreeMap;

use super::Demand;
use crate::{
    unit::{Tokens, as_f64, round},
    wire,
};

/// Fraction of an engine's memory that is filled while another engine has more room. The rest is for
/// what peers have placed since their last digests.
const AMPLE_FRACTION: f64 = 0.9;

/// Tokens that one request keeps in the memory of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Tokens that no other request shares, and the limit of the output.
    pub own: Tokens,
    /// Hash and tokens of the prefix that other requests share.
    pub prefix: Option<(u64, Tokens)>,
}

impl Footprint {
    /// The footprint of a request.
    pub(super) fn of(demand: &Demand) -> Self {
        let prefix = demand
            .affinity
            .map(|affinity| (affinity, demand.shared_prefix));
        let shared = prefix.map_or(Tokens::ZERO, |(_, tokens)| tokens);
        Self {
            own: demand.prompt.saturating_sub(shared) + demand.max_output,
            prefix,
        }
    }
}

/// Tokens that requests keep in the memory of one engine. Prefixes count once, however many requests
/// share them.
#[derive(Debug, Default)]
pub(super) struct KvMemory {
    own: Tokens,
    prefixes: BTreeMap<u64, Prefix>,
}

/// A prefix in the memory of an engine.
#[derive(Debug, Default)]
struct Prefix {
    tokens: Tokens,
    /// Requests, or peers, that use it.
    users: u32,
}

/// Room that an engine has for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// Enough, also for requests that peers may have placed since their last digests.
    Ample,
    /// Enough for what is known.
    Tight,
    /// Not enough.
    None,
}

impl KvMemory {
    pub(super) fn add(&mut self, footprint: Footprint) {
        self.own += footprint.own;
        if let Some((hash, tokens)) = footprint.prefix {
            self.add_prefix(hash, tokens);
        }
    }

    pub(super) fn subtract(&mut self, footprint: Footprint) {
        self.own = self.own.saturating_sub(footprint.own);
        if let Some((hash, _)) = footprint.prefix {
            self.subtract_prefix(hash);
        }
    }

    /// Adds what a peer has placed.
    pub(super) fn add_peer(&mut self, peer: &wire::Occupancy) {
        self.own += peer.own;
        for (hash, tokens) in &peer.prefixes {
            self.add_prefix(*hash, *tokens);
        }
    }

    /// Removes what a peer had placed.
    pub(super) fn subtract_peer(&mut self, peer: &wire::Occupancy) {
        self.own = self.own.saturating_sub(peer.own);
        for (hash, _) in &peer.prefixes {
            self.subtract_prefix(*hash);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.own == Tokens::ZERO && self.prefixes.is_empty()
    }

    /// The tokens that no requests share, and the prefixes.
    pub(super) fn report(&self) -> (Tokens, Vec<(u64, Tokens)>) {
        let prefixes = self.prefixes.iter();
        let prefixes = prefixes.map(|(hash, prefix)| (*hash, prefix.tokens));
        (self.own, prefixes.collect())
    }

    /// The room for another request, next to what this process and its peers have placed.
    /// `peers_factor` extrapolates from the peers that are linked to all of them.
    pub(super) fn room(
        &self,
        peers: Option<&Self>,
        peers_factor: f64,
        request: Footprint,
        capacity: Tokens,
    ) -> Room {
        let peer_prefixes = peers.map(|peers| &peers.prefixes);
        let is_known = |hash: &u64| {
            self.prefixes.contains_key(hash)
                || peer_prefixes.is_some_and(|prefixes| prefixes.contains_key(hash))
        };
        let new_prefix = request.prefix.filter(|(hash, _)| !is_known(hash));
        let peers_only = peer_prefixes
            .into_iter()
            .flatten()
            .filter(|(hash, _)| !self.prefixes.contains_key(hash));
        let shared: Tokens = self
            .prefixes
            .values()
            .chain(peers_only.map(|(_, prefix)| prefix))
            .map(|prefix| prefix.tokens)
            .chain(new_prefix.map(|(_, tokens)| tokens))
            .sum();
        let peers_own = peers.map_or(0.0, |peers| as_f64(peers.own.get()) * peers_factor);
        let sum = self.own + request.own + shared + Tokens::new(round(peers_own));
        if sum > capacity {
            Room::None
        } else if as_f64(sum.get()) > as_f64(capacity.get()) * AMPLE_FRACTION {
            Room::Tight
        } else {
            Room::Ample
        }
    }

    fn add_prefix(&mut self, hash: u64, tokens: Tokens) {
        let prefix = self.prefixes.entry(hash).or_default();
        prefix.tokens = prefix.tokens.max(tokens);
        prefix.users += 1;
    }

    fn subtract_prefix(&mut self, hash: u64) {
        if let Some(prefix) = self.prefixes.get_mut(&hash) {
            prefix.users = prefix.users.saturating_sub(1);
            if prefix.users == 0 {
                self.prefixes.remove(&hash);
            }
        }
    }
}
