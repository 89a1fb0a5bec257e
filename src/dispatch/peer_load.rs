use std::collections::BTreeMap;

use super::{Backlog, PeerCoverage, kv_memory::KvMemory};
use crate::{
    id::Endpoint,
    link::Session,
    unit::{Tokens, as_f64},
    wire::{Occupancy, Usage},
};

/// The load that peer processes report for each endpoint.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<Session, BTreeMap<Endpoint, Usage>>,
    totals: BTreeMap<Endpoint, Total>,
    occupancies: BTreeMap<Session, BTreeMap<Endpoint, Occupancy>>,
    memory: BTreeMap<Endpoint, KvMemory>,
    coverage: Option<PeerCoverage>,
}

/// Sum of the usage that all linked peers report for one endpoint.
#[derive(Debug, Default)]
struct Total {
    requests: u64,
    backlog: Backlog,
}

/// Load that peer processes place on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PeerLoad {
    /// Requests in flight.
    pub(super) requests: f64,
    /// Prompt tokens waiting for prefill, of requests that are at least as urgent as the one being
    /// placed.
    pub(super) urgent_tokens: f64,
    /// Prompt tokens waiting for prefill, of less urgent requests.
    pub(super) less_urgent_tokens: f64,
}

impl PeerLoads {
    /// Applies the usage that a peer reports. Endpoints that are not listed keep their last usage.
    pub(super) fn update(&mut self, session: Session, usages: Vec<Usage>) {
        let peer = self.peers.entry(session).or_default();
        for usage in usages {
            let total = self.totals.entry(usage.endpoint.clone()).or_default();
            if let Some(previous) = peer.remove(&usage.endpoint) {
                total.subtract(&previous);
            }
            if usage.requests > 0 {
                total.add(&usage);
                peer.insert(usage.endpoint.clone(), usage);
            } else if total.requests == 0 {
                self.totals.remove(&usage.endpoint);
            }
        }
    }

    /// Applies the memory in use that a peer reports. Engines that are not listed keep theirs.
    pub(super) fn update_memory(&mut self, session: Session, occupancies: Vec<Occupancy>) {
        for occupancy in occupancies {
            let peer = self.occupancies.entry(session).or_default();
            if let Some(previous) = peer.remove(&occupancy.endpoint) {
                subtract_memory(&mut self.memory, &previous);
            }
            if occupancy.own > Tokens::ZERO || !occupancy.prefixes.is_empty() {
                let endpoint = occupancy.endpoint.clone();
                let total = self.memory.entry(endpoint.clone()).or_default();
                total.add_peer(&occupancy);
                peer.insert(endpoint, occupancy);
            }
        }
    }

    /// Memory of an engine that the requests of linked peers use.
    pub(super) fn memory(&self, endpoint: &Endpoint) -> Option<&KvMemory> {
        self.memory.get(endpoint)
    }

    /// Removes all usage reported over a link.
    pub(super) fn remove(&mut self, session: Session) {
        for occupancy in self
            .occupancies
            .remove(&session)
            .unwrap_or_default()
            .values()
        {
            subtract_memory(&mut self.memory, occupancy);
        }
        for (endpoint, usage) in self.peers.remove(&session).unwrap_or_default() {
            if let Some(total) = self.totals.get_mut(&endpoint) {
                total.subtract(&usage);
                if total.requests == 0 {
                    self.totals.remove(&endpoint);
                }
            }
        }
    }

    pub(super) const fn set_coverage(&mut self, coverage: PeerCoverage) {
        self.coverage = Some(coverage);
    }

    /// Returns the load of all peers at an endpoint, or `None` if no peer reports usage. If only
    /// some of the known peers are linked, their load is extrapolated to all of them.
    pub(super) fn get(&self, endpoint: &Endpoint, rank: u8) -> Option<PeerLoad> {
        if self.peers.is_empty() {
            return None;
        }
        let Some(total) = self.totals.get(endpoint) else {
            return Some(PeerLoad::default());
        };
        let (urgent, less_urgent) = total.backlog.split(rank);
        let factor = self.coverage_factor();
        Some(PeerLoad {
            requests: as_f64(total.requests) * factor,
            urgent_tokens: as_f64(urgent) * factor,
            less_urgent_tokens: as_f64(less_urgent) * factor,
        })
    }

    /// Known peers for each linked one, by which the load of the linked ones is extrapolated.
    pub(super) fn coverage_factor(&self) -> f64 {
        self.coverage.map_or(1.0, |coverage| {
            let (known, linked) = (
                as_f64(coverage.known as u64),
                as_f64(coverage.linked as u64),
            );
            (known / linked.max(1.0)).max(1.0)
        })
    }
}

fn subtract_memory(memory: &mut BTreeMap<Endpoint, KvMemory>, previous: &Occupancy) {
    if let Some(total) = memory.get_mut(&previous.endpoint) {
        total.subtract_peer(previous);
        if total.is_empty() {
            memory.remove(&previous.endpoint);
        }
    }
}

impl Total {
    fn add(&mut self, usage: &Usage) {
        self.requests += u64::from(usage.requests);
        for (rank, tokens) in &usage.prompt_tokens_to_prefill {
            self.backlog.add(*rank, *tokens);
        }
    }

    fn subtract(&mut self, usage: &Usage) {
        self.requests = self.requests.saturating_sub(u64::from(usage.requests));
        for (rank, tokens) in &usage.prompt_tokens_to_prefill {
            self.backlog.subtract(*rank, *tokens);
        }
    }
}
