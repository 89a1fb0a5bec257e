use std::collections::BTreeMap;

use super::{Audience, Backlog};
use crate::{id::Endpoint, link::Session, unit::as_f64, wire::Usage};

/// What other processes tell of their work.
#[derive(Debug, Default)]
pub(super) struct Hearsay {
    peers: BTreeMap<Session, BTreeMap<Endpoint, Usage>>,
    totals: BTreeMap<Endpoint, Total>,
    audience: Option<Audience>,
}

#[derive(Debug, Default)]
struct Total {
    requests: u64,
    unread: Backlog,
}

/// Work of other processes at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Foreign {
    /// Requests in progress.
    pub(super) requests: f64,
    /// Prompt tokens of those that the endpoint has not read, of requests that are at least as
    /// urgent.
    pub(super) urgent: f64,
    /// The same of all other requests.
    pub(super) patient: f64,
}

impl Hearsay {
    pub(super) fn hear(&mut self, session: Session, usages: Vec<Usage>) {
        let peer = self.peers.entry(session).or_default();
        for usage in usages {
            let total = self.totals.entry(usage.endpoint.clone()).or_default();
            if let Some(before) = peer.remove(&usage.endpoint) {
                total.subtract(&before);
            }
            if usage.requests > 0 {
                total.add(&usage);
                peer.insert(usage.endpoint.clone(), usage);
            } else if total.requests == 0 {
                self.totals.remove(&usage.endpoint);
            }
        }
    }

    pub(super) fn forget(&mut self, session: Session) {
        for (endpoint, usage) in self.peers.remove(&session).unwrap_or_default() {
            if let Some(total) = self.totals.get_mut(&endpoint) {
                total.subtract(&usage);
                if total.requests == 0 {
                    self.totals.remove(&endpoint);
                }
            }
        }
    }

    pub(super) const fn set_audience(&mut self, audience: Audience) {
        self.audience = Some(audience);
    }

    /// Work of the other processes at an endpoint; nothing if none of them tells. If only a part of
    /// them does, it stands for the rest.
    pub(super) fn at(&self, endpoint: &Endpoint, rank: u8) -> Option<Foreign> {
        if self.peers.is_empty() {
            return None;
        }
        let Some(total) = self.totals.get(endpoint) else {
            return Some(Foreign::default());
        };
        let (urgent, patient) = total.unread.split(rank);
        let factor = self.audience.map_or(1.0, |audience| {
            let (known, linked) = (
                as_f64(audience.known as u64),
                as_f64(audience.linked as u64),
            );
            (known / linked.max(1.0)).max(1.0)
        });
        Some(Foreign {
            requests: as_f64(total.requests) * factor,
            urgent: as_f64(urgent) * factor,
            patient: as_f64(patient) * factor,
        })
    }
}

impl Total {
    fn add(&mut self, usage: &Usage) {
        self.requests += u64::from(usage.requests);
        for (rank, tokens) in &usage.unread {
            self.unread.add(*rank, *tokens);
        }
    }

    fn subtract(&mut self, usage: &Usage) {
        self.requests = self.requests.saturating_sub(u64::from(usage.requests));
        for (rank, tokens) in &usage.unread {
            self.unread.take(*rank, *tokens);
        }
    }
}
