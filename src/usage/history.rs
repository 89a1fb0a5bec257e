use std::{collections::BTreeMap, sync::Arc};

use crate::id::{Caller, Window};

/// Requests by customer, as reported.
pub(super) type Content = Arc<BTreeMap<Caller, u64>>;

/// What is known of the reports of earlier windows, in any term and in any era of the store.
///
/// The store may lose what it has acknowledged when it is restored from a copy, so the entry of a report alone
/// does not show whether the report was sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Contents that this process has fixed, or has found in the store.
    contents: BTreeMap<Window, Content>,
    /// The last window whose report may have been sent, by this process or another one.
    sent: Option<Window>,
    /// The last window whose report was accepted.
    accepted: Option<Window>,
    /// The last window that this process does not report, since it may have been reported otherwise.
    given_up: Option<Window>,
}

impl History {
    /// The first window from `oldest` on whose report is neither accepted nor given up.
    #[must_use]
    pub fn next(&self, oldest: Window) -> Window {
        let settled = self.accepted.max(self.given_up);
        let after = settled.map(|window| Window::new(window.get() + 1));
        after.unwrap_or(oldest).max(oldest)
    }

    /// The content of the report of a window, if this process knows it.
    pub(super) fn content(&self, window: Window) -> Option<&Content> {
        self.contents.get(&window)
    }

    /// Contents of reports that are not known to be accepted.
    pub(super) fn open_contents(&self) -> BTreeMap<Window, Content> {
        let open = self.contents.iter();
        let open = open.filter(|(window, _)| Some(**window) > self.accepted);
        open.map(|(window, content)| (*window, Arc::clone(content)))
            .collect()
    }

    /// Notes the content that the store holds for a window. A different one that was known before stays.
    pub(super) fn record_content(&mut self, window: Window, content: &Content) {
        self.contents
            .entry(window)
            .or_insert_with(|| Arc::clone(content));
        self.sent = self.sent.max(Some(window));
    }

    /// Whether the report of a window may have been sent.
    #[must_use]
    pub fn may_have_been_sent(&self, window: Window) -> bool {
        self.sent >= Some(window)
    }

    /// The last window whose report may have been sent.
    #[must_use]
    pub const fn sent(&self) -> Option<Window> {
        self.sent
    }

    /// The last window whose report was accepted.
    #[must_use]
    pub const fn accepted(&self) -> Option<Window> {
        self.accepted
    }

    /// Notes that the report of a window was accepted.
    pub fn record_accepted(&mut self, window: Window) {
        self.accepted = self.accepted.max(Some(window));
    }

    /// Notes that the report of a window is not sent by this process.
    pub fn give_up(&mut self, window: Window) {
        self.given_up = self.given_up.max(Some(window));
    }

    /// Merges what a peer knows.
    pub fn merge(&mut self, sent: Option<Window>, accepted: Option<Window>) {
        self.sent = self.sent.max(sent);
        self.accepted = self.accepted.max(accepted);
    }

    /// Forgets the contents of windows before `oldest`.
    pub fn prune(&mut self, oldest: Window) {
        self.contents.retain(|window, _| *window >= oldest);
    }
}
