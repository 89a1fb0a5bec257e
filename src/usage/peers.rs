use std::{collections::BTreeMap, time::Duration, time::Instant};

use crate::{
    directory::Update,
    id::{Incarnation, Process, Window},
    peers::Roster,
};

/// Time without a digest after which a peer counts as not linked. Linked peers send a digest each
/// second.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// The last digest of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LastDigest {
    pub(super) received_at: Instant,
    /// The last window whose report may have been sent, as far as the peer knows; `None` if it does not say.
    pub(super) sent: Option<Window>,
    incarnation: Incarnation,
    /// When the first digest of this run was received.
    run_known_since: Instant,
}

/// The other registered gateways, and what their digests say about themselves.
#[derive(Debug)]
pub(super) struct Peers {
    own: Process,
    roster: Roster,
    /// When gateways were removed from the roster.
    removed: BTreeMap<Process, Instant>,
    digests: BTreeMap<Process, LastDigest>,
}

impl Peers {
    pub(super) fn new(own: Process) -> Self {
        Self {
            own,
            roster: Roster::new(),
            removed: BTreeMap::new(),
            digests: BTreeMap::new(),
        }
    }

    /// Names of the registered gateways other than the own one.
    pub(super) fn names(&self) -> impl Iterator<Item = &Process> {
        self.roster
            .processes()
            .filter(|process| **process != self.own)
    }

    /// Applies a change of the registered gateways.
    pub(super) fn apply(&mut self, update: Update, now: Instant) {
        let before: Vec<Process> = self.names().cloned().collect();
        self.roster.apply(update);
        self.removed
            .extend(before.into_iter().map(|process| (process, now)));
        let roster = &self.roster;
        self.removed
            .retain(|process, _| roster.processes().all(|listed| listed != process));
    }

    /// Notes a digest.
    pub(super) fn observe(
        &mut self,
        process: &Process,
        incarnation: Incarnation,
        sent: Option<Window>,
        now: Instant,
    ) {
        let last = self.digests.get(process);
        let same_run = last.filter(|last| last.incarnation == incarnation);
        let last = LastDigest {
            received_at: now,
            sent,
            incarnation,
            run_known_since: same_run.map_or(now, |last| last.run_known_since),
        };
        self.digests.insert(process.clone(), last);
    }

    /// The last digest of a peer, if it is linked.
    pub(super) fn linked(&self, process: &Process, now: Instant) -> Option<LastDigest> {
        let last = self.digests.get(process).copied();
        last.filter(|last| now.saturating_duration_since(last.received_at) < SILENT_AFTER)
    }

    /// Whether each gateway that may have reported a window has sent a digest since `since`, in a run that
    /// was known before the window was closed: it still knows what it has reported. `was_open` is whether the
    /// window was open at a time.
    pub(super) fn all_sent_digests_since(
        &self,
        since: Instant,
        was_open: impl Fn(Instant) -> bool,
    ) -> bool {
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, removed_at)| !was_open(**removed_at));
        let mut candidates = self.names().chain(removed.map(|(process, _)| process));
        candidates.all(|process| {
            let last = self.digests.get(process);
            last.is_some_and(|last| last.received_at >= since && was_open(last.run_known_since))
        })
    }

    /// Forgets the gateways that were removed before a window was closed.
    pub(super) fn prune(&mut self, was_open: impl Fn(Instant) -> bool) {
        self.removed.retain(|_, removed_at| !was_open(*removed_at));
    }
}
