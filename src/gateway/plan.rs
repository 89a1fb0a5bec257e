use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    directory::{Codec, Update},
    id::Revision,
    invariant::{self, Invariant},
    route::Plan,
    store::{Change, Path},
};

/// Holds the active plan. A plan is replaced only by one with a higher version, and stays active if
/// it is deleted from the store.
#[derive(Debug)]
pub struct ActivePlan {
    codec: Arc<dyn Codec>,
    path: Path,
    plan: watch::Sender<Option<Arc<Plan>>>,
}

impl ActivePlan {
    /// Starts without a plan. `path` is the key of the plan in the store.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, path: Path) -> Self {
        Self {
            codec,
            path,
            plan: watch::Sender::new(None),
        }
    }

    /// The active plan; `None` until the first one is received.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Plan>>> {
        self.plan.subscribe()
    }

    /// Applies a snapshot or changes from the store. Other keys are ignored.
    pub fn apply(&mut self, update: Update) {
        match update {
            Update::Snapshot(items) => {
                for item in items {
                    if item.path == self.path {
                        self.replace_if_newer(&item.value, item.modified);
                    }
                }
            }
            Update::Changes(events) => {
                for event in events {
                    match event.change {
                        _ if event.path != self.path => {}
                        Change::Put(value) => self.replace_if_newer(&value, event.revision),
                        Change::Delete => log::warn!(revision:% = event.revision;
                            "plan was deleted from the store; the last plan stays active"),
                    }
                }
            }
            // The version decides, which the operator does not give out again.
            Update::Restored | Update::Availability(_) => {}
        }
    }

    fn replace_if_newer(&mut self, value: &[u8], revision: Revision) {
        let plan = match self.codec.plan(value) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!(revision:% = revision, error:% = error;
                    "plan cannot be decoded; the last plan stays active");
                return;
            }
        };
        let current = self.plan.borrow().as_ref().map(|plan| plan.version());
        if current.is_some_and(|current| plan.version() <= current) {
            return;
        }
        log::info!(version:% = plan.version(), before:? = current.map(|v| v.to_string()),
            revision:% = revision, routes = plan.len(); "plan activated");
        let version = plan.version();
        let old = self.plan.send_replace(Some(Arc::new(plan)));
        invariant::check(
            Invariant::NoRevert,
            old.is_none_or(|old| old.version() < version),
            || format!("plan {version} replaced a newer one"),
        );
    }
}
