use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::{
    directory::{Codec, Update},
    id::Revision,
    invariant::{self, Invariant},
    route::{Plan, Version},
    store::{Change, Path},
};

/// Holds the active plan. A plan is replaced only by one with a higher version, and stays active if
/// it is deleted from the store.
#[derive(Debug)]
pub struct ActivePlan {
    codec: Arc<dyn Codec>,
    path: Path,
    plan: watch::Sender<Option<Arc<Plan>>>,
    /// Version of the plan in the store by its last answer, if that plan could be decoded.
    listed: Option<Version>,
    /// Time since boot as of which the active plan was the newest, or a newer one than the newest.
    confirmed: watch::Sender<Option<Duration>>,
}

impl ActivePlan {
    /// Starts without a plan. `path` is the key of the plan in the store.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, path: Path) -> Self {
        Self {
            codec,
            path,
            plan: watch::Sender::new(None),
            listed: None,
            confirmed: watch::Sender::new(None),
        }
    }

    /// The active plan; `None` until the first one is received.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Plan>>> {
        self.plan.subscribe()
    }

    /// Time since boot at which a call was sent to the store whose answer showed that no plan is newer
    /// than the active one; `None` before the first. It changes after the plan, so a plan that is read
    /// after it is confirmed as of this time.
    #[must_use]
    pub fn subscribe_confirmed(&self) -> watch::Receiver<Option<Duration>> {
        self.confirmed.subscribe()
    }

    /// Applies a snapshot or changes from the store, which answer a call that was sent at this time since
    /// boot. Other keys are ignored.
    pub fn apply(&mut self, update: Update, sent: Duration) {
        match update {
            Update::Snapshot(items) => {
                self.listed = None;
                for item in items {
                    if item.path == self.path {
                        self.listed = self.replace_if_newer(&item.value, item.modified);
                    }
                }
                self.confirm(self.listed, sent);
            }
            Update::Changes(events) => {
                for event in events {
                    match event.change {
                        _ if event.path != self.path => {}
                        Change::Put(value) => {
                            self.listed = self.replace_if_newer(&value, event.revision);
                        }
                        Change::Delete => {
                            self.listed = None;
                            log::warn!(revision:% = event.revision;
                                "plan was deleted from the store; the last plan stays active");
                        }
                    }
                }
                self.confirm(self.listed, sent);
            }
            // The version decides, which the operator does not give out again.
            Update::Restored => self.listed = None,
            Update::Availability(_) => {}
        }
    }

    /// Records that the newest plan had this version at a time since boot. A version before the active one
    /// confirms nothing: it is that of an older copy of the store.
    fn confirm(&self, newest: Option<Version>, as_of: Duration) {
        let active = self.plan.borrow().as_ref().map(|plan| plan.version());
        if newest.is_none() || newest < active {
            return;
        }
        self.confirmed.send_if_modified(|confirmed| {
            let is_later = confirmed.is_none_or(|confirmed| confirmed < as_of);
            if is_later {
                *confirmed = Some(as_of);
            }
            is_later
        });
    }

    /// Returns the version, if the value is a plan.
    fn replace_if_newer(&self, value: &[u8], revision: Revision) -> Option<Version> {
        let plan = match self.codec.plan(value) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!(revision:% = revision, error:% = error;
                    "plan cannot be decoded; the last plan stays active");
                return None;
            }
        };
        let version = plan.version();
        let current = self.plan.borrow().as_ref().map(|plan| plan.version());
        if current.is_some_and(|current| version <= current) {
            return Some(version);
        }
        log::info!(version:% = version, before:? = current.map(|v| v.to_string()),
            revision:% = revision, routes = plan.len(); "plan activated");
        let old = self.plan.send_replace(Some(Arc::new(plan)));
        invariant::check(
            Invariant::NoRevert,
            old.is_none_or(|old| old.version() < version),
            || format!("plan {version} replaced a newer one"),
        );
        Some(version)
    }
}
