use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    id::{Caller, Incarnation, Process, Window},
    wire::Begun,
};

/// Time after the end of a window in which requests may still be counted in it: that of a plain service
/// is only counted once its outcome is known.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time before a report is due at which it is sent, whether all gateways have reported or not.
const SEND_MARGIN: Duration = Duration::from_secs(2);
/// Windows that are kept beyond the time at which their reports are due.
const RETAINED_WINDOWS: u64 = 2;

/// Lengths that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub lateness: Duration,
}

impl Spec {
    /// The window that a Unix time is in.
    #[must_use]
    pub fn window_at(self, time: Duration) -> Window {
        let length = self.window.as_millis().max(1);
        Window::new(u64::try_from(time.as_millis() / length).unwrap_or(u64::MAX))
    }

    /// End of a window in Unix time.
    #[must_use]
    pub fn end(self, window: Window) -> Duration {
        let length = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(length.saturating_mul(window.get().saturating_add(1)))
    }

    /// The first window to which requests may still be added.
    #[must_use]
    pub fn open_window(self, time: Duration) -> Window {
        self.window_at(time.saturating_sub(SETTLE_TIME))
    }

    /// The first window that is retained.
    #[must_use]
    pub fn oldest(self, time: Duration) -> Window {
        let oldest = self.window_at(time.saturating_sub(self.lateness));
        Window::new(oldest.get().saturating_sub(RETAINED_WINDOWS))
    }

    /// Whether the report of a window must be sent, even if counts are missing.
    #[must_use]
    pub fn is_urgent(self, window: Window, time: Duration) -> bool {
        let margin = SEND_MARGIN.min(self.lateness / 2);
        time >= self.end(window) + self.lateness.saturating_sub(margin)
    }
}

/// Counts that one run of a process has reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Source {
    counts: BTreeMap<Window, BTreeMap<Caller, u64>>,
    /// The first window to which it may still add requests.
    open: Window,
}

/// Counts of this process and its peers. All counts only grow, so merging takes the larger one.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    own: BTreeMap<Window, BTreeMap<Caller, u64>>,
    changed: BTreeSet<(Window, Caller)>,
    peers: BTreeMap<(Process, Incarnation), Source>,
}

impl Tally {
    /// Counts a request of this process.
    pub fn count(&mut self, window: Window, customer: &Caller) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        self.changed.insert((window, customer.clone()));
    }

    /// Own counts that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Begun> {
        let changed = std::mem::take(&mut self.changed);
        let changes = changed.into_iter().filter_map(|(window, customer)| {
            let count = *self.own.get(&window)?.get(&customer)?;
            Some(Begun {
                window,
                customer,
                count,
            })
        });
        changes.collect()
    }

    /// All own counts.
    #[must_use]
    pub fn own(&self) -> Vec<Begun> {
        let windows = self.own.iter().flat_map(|(window, counts)| {
            counts.iter().map(|(customer, count)| Begun {
                window: *window,
                customer: customer.clone(),
                count: *count,
            })
        });
        windows.collect()
    }

    /// Own counts of a window.
    #[must_use]
    pub fn own_in(&self, window: Window) -> BTreeMap<Caller, u64> {
        self.own.get(&window).cloned().unwrap_or_default()
    }

    /// Merges counts of a run of a peer, which may still add to windows from `open` on.
    pub fn merge(&mut self, peer: (Process, Incarnation), begun: &[Begun], open: Window) {
        let source = self.peers.entry(peer).or_default();
        source.open = source.open.max(open);
        for Begun {
            window,
            customer,
            count,
        } in begun
        {
            let counts = source.counts.entry(*window).or_default();
            let merged = counts.entry(customer.clone()).or_default();
            *merged = (*merged).max(*count);
        }
    }

    /// Whether a peer has reported all of its counts of a window.
    #[must_use]
    pub fn has_reported(&self, peer: &Process, window: Window) -> bool {
        let mut runs = self.peers.iter().filter(|((name, _), _)| name == peer);
        runs.any(|(_, source)| source.open > window)
    }

    /// Requests of each customer in a window.
    #[must_use]
    pub fn report(&self, window: Window) -> BTreeMap<Caller, u64> {
        let mut report = self.own_in(window);
        for source in self.peers.values() {
            for (customer, count) in source.counts.get(&window).into_iter().flatten() {
                *report.entry(customer.clone()).or_default() += count;
            }
        }
        report
    }

    /// The counts of one window.
    #[must_use]
    pub fn only(&self, window: Window) -> Self {
        let of_window = |counts: &BTreeMap<Window, BTreeMap<Caller, u64>>| {
            let counts = counts.get(&window).cloned();
            counts.into_iter().map(|counts| (window, counts)).collect()
        };
        let peers = self.peers.iter().map(|(peer, source)| {
            let counts = of_window(&source.counts);
            let open = source.open;
            (peer.clone(), Source { counts, open })
        });
        Self {
            own: of_window(&self.own),
            changed: BTreeSet::new(),
            peers: peers.collect(),
        }
    }

    /// Forgets the windows before `oldest`, and the runs that reported nothing since.
    pub fn prune(&mut self, oldest: Window) {
        self.own.retain(|window, _| *window >= oldest);
        self.changed.retain(|(window, _)| *window >= oldest);
        self.peers.retain(|_, source| {
            source.counts.retain(|window, _| *window >= oldest);
            source.open >= oldest
        });
    }
}
