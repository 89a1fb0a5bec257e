use std::{collections::BTreeMap, time::Instant};

use super::{Closure, Notice, Standing};
use crate::{directory::Started, id::Endpoint};

/// Endpoints whose notices are kept. Beyond that, those without an entry in the store are dropped.
const ENTRIES_MAX: usize = 4_096;

/// The notices of endpoints, by run. A notice binds as long as the run lasts, whatever the store says of
/// it, and no longer.
#[derive(Debug, Default)]
pub struct Board {
    entries: BTreeMap<Endpoint, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The run that the notices are of; `None` if the store does not say when runs started.
    started: Option<Started>,
    closure: Closure,
    /// Whether it was last seen to pause.
    was_paused: bool,
}

impl Board {
    /// Records the notice of a run. Returns what its notices amount to if that has changed.
    pub fn record(
        &mut self,
        endpoint: &Endpoint,
        started: Option<Started>,
        notice: Notice,
        now: Instant,
    ) -> Option<Closure> {
        if notice.is_empty() {
            return None;
        }
        self.set_run(endpoint, started);
        let entry = self.entries.entry(endpoint.clone()).or_insert(Entry {
            started,
            closure: Closure::default(),
            was_paused: false,
        });
        let is_former_run = started.is_some() && started < entry.started;
        let before = entry.closure;
        if !is_former_run {
            entry.closure.add(notice, now);
            entry.was_paused |= entry.closure.standing(now) == Standing::Paused;
        }
        (entry.closure != before).then_some(entry.closure)
    }

    /// Notes the run of an endpoint that the store lists. What a former run has said is dropped.
    pub fn set_run(&mut self, endpoint: &Endpoint, started: Option<Started>) {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return;
        };
        match (entry.started, started) {
            (Some(known), Some(started)) if known < started => {
                self.entries.remove(endpoint);
            }
            (None, Some(_)) => entry.started = started,
            _ => {}
        }
    }

    /// Drops endpoints that `is_listed` does not know, if there are too many.
    pub fn limit(&mut self, is_listed: impl Fn(&Endpoint) -> bool) {
        if self.entries.len() > ENTRIES_MAX {
            self.entries.retain(|endpoint, _| is_listed(endpoint));
        }
    }

    /// What the notices of an endpoint amount to.
    #[must_use]
    pub fn closure(&self, endpoint: &Endpoint) -> Closure {
        let entry = self.entries.get(endpoint);
        entry.map(|entry| entry.closure).unwrap_or_default()
    }

    /// Returns the endpoints whose pauses have ended since the last call.
    pub fn take_reopened(&mut self, now: Instant) -> Vec<Endpoint> {
        let mut reopened = Vec::new();
        for (endpoint, entry) in &mut self.entries {
            let is_open = entry.closure.standing(now) == Standing::Open;
            if is_open && std::mem::take(&mut entry.was_paused) {
                reopened.push(endpoint.clone());
            }
        }
        self.entries.retain(|_, entry| !entry.closure.is_over(now));
        reopened
    }
}
