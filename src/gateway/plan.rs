use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    directory::{Codec, Feed},
    id::Revision,
    invariant::{self, Point},
    route::Plan,
    store::{Change, Path},
};

/// Keeps the plan in force. A plan is replaced only by one with a higher version, and never lost.
#[derive(Debug)]
pub struct Keeper {
    codec: Arc<dyn Codec>,
    path: Path,
    plan: watch::Sender<Option<Arc<Plan>>>,
}

impl Keeper {
    /// A keeper of the plan that lies at `path`.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, path: Path) -> Self {
        Self {
            codec,
            path,
            plan: watch::Sender::new(None),
        }
    }

    /// The plan in force; nothing before the first one.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Option<Arc<Plan>>> {
        self.plan.subscribe()
    }

    /// Takes in what the store says.
    pub fn apply(&mut self, feed: Feed) {
        match feed {
            Feed::Snapshot(items) => {
                for item in items {
                    if item.path == self.path {
                        self.offer(&item.value, item.modified);
                    }
                }
            }
            Feed::Changes(events) => {
                for event in events {
                    match event.change {
                        _ if event.path != self.path => {}
                        Change::Put(value) => self.offer(&value, event.revision),
                        Change::Delete => log::warn!(revision:% = event.revision;
                            "plan was removed from the store; the last one stays in force"),
                    }
                }
            }
            Feed::Contact(_) => {}
        }
    }

    fn offer(&mut self, value: &[u8], revision: Revision) {
        let plan = match self.codec.plan(value) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!(revision:% = revision, error:% = error;
                    "plan cannot be read; the last one stays in force");
                return;
            }
        };
        let current = self.plan.borrow().as_ref().map(|plan| plan.version());
        if current.is_some_and(|current| plan.version() <= current) {
            return;
        }
        log::info!(version:% = plan.version(), before:? = current.map(|v| v.to_string()),
            revision:% = revision, routes = plan.len(); "plan is in force");
        let version = plan.version();
        let old = self.plan.send_replace(Some(Arc::new(plan)));
        invariant::check(
            Point::NoRevert,
            old.is_none_or(|old| old.version() < version),
            || format!("plan {version} replaced a later one"),
        );
    }
}
