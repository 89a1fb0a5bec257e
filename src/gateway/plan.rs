use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::{
    directory::{Codec, Update},
    id::Revision,
    invariant::{self, Invariant},
    peers::SharedPlan,
    route::{Plan, Version},
    store::{Change, Path},
};

/// Time in which the operator writes again what a restore of the store has taken back.
pub(super) const REWRITE_TIME: Duration = Duration::from_secs(3);

/// Holds the active plan. A plan is replaced only by one with a higher version, and stays active if
/// it is deleted from the store.
#[derive(Debug)]
pub struct ActivePlan {
    codec: Arc<dyn Codec>,
    path: Path,
    plan: watch::Sender<Option<Arc<Plan>>>,
    /// Version of the plan in the store by its last answer, if that plan could be decoded.
    listed: Option<Version>,
    /// The active plan as received.
    value: Vec<u8>,
    /// Time after a restore of the store in which its plan may be an old one.
    rewrite_time: Duration,
    /// Time since boot from which on calls to the store return the newest plan; `None` before the first answer. Only
    /// used until the first confirmation: then the versions show whether the plan in the store is an old one.
    complete_from: Option<Duration>,
    /// When the call was sent whose answer was the last one of the store.
    listed_at: Duration,
    /// Version that the last confirmation concerned.
    confirmed_version: Option<Version>,
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
            value: Vec::new(),
            rewrite_time: Duration::ZERO,
            complete_from: None,
            listed_at: Duration::ZERO,
            confirmed_version: None,
            confirmed: watch::Sender::new(None),
        }
    }

    /// Sets the time after a restore of the store in which its plan may be an old one; zero by default. For as
    /// long, the store confirms no plan to a process that has just started, unless the plan is written again.
    #[must_use]
    pub const fn with_rewrite_time(mut self, rewrite_time: Duration) -> Self {
        self.rewrite_time = rewrite_time;
        self
    }

    /// Notes that the store was not restored since this time since boot.
    pub fn observe_era(&mut self, since: Duration) {
        if let Some(from) = &mut self.complete_from {
            *from = since.saturating_add(self.rewrite_time).min(*from);
            self.confirm_listed(self.listed_at);
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
                let complete_from = sent.saturating_add(self.rewrite_time);
                self.complete_from.get_or_insert(complete_from);
                for item in items {
                    if item.path == self.path {
                        self.listed = self.replace_if_newer(&item.value, item.modified);
                    }
                }
                self.confirm_listed(sent);
            }
            Update::Changes(events) => {
                for event in events {
                    match event.change {
                        _ if event.path != self.path => {}
                        Change::Put(value) => {
                            // The operator writes nothing but its newest plan.
                            self.complete_from = Some(sent);
                            self.listed = self.replace_if_newer(&value, event.revision);
                        }
                        Change::Delete => {
                            self.listed = None;
                            log::warn!(revision:% = event.revision;
                                "plan was deleted from the store; the last plan stays active");
                        }
                    }
                }
                self.confirm_listed(sent);
            }
            // The version decides, which the operator does not give out again.
            Update::Restored => {
                self.listed = None;
                self.complete_from = None;
            }
            Update::Availability(_) => {}
        }
    }

    /// Confirms the plan that the store has shown in the answer to a call, unless it may be an old one.
    fn confirm_listed(&mut self, sent: Duration) {
        self.listed_at = sent;
        let is_complete = self.complete_from.is_some_and(|from| from <= sent);
        if is_complete || self.confirmed.borrow().is_some() {
            self.confirm(self.listed, sent);
        }
    }

    /// Records that the newest plan had this version at a time since boot. A version before the active one
    /// confirms nothing: it is that of an older copy of the store.
    pub(super) fn confirm(&mut self, newest: Option<Version>, as_of: Duration) {
        let active = self.plan.borrow().as_ref().map(|plan| plan.version());
        if newest.is_none() || newest < active {
            return;
        }
        let is_later = self.confirmed.send_if_modified(|confirmed| {
            let is_later = confirmed.is_none_or(|confirmed| confirmed < as_of);
            if is_later {
                *confirmed = Some(as_of);
            }
            is_later
        });
        if is_later {
            self.confirmed_version = newest;
        }
    }

    /// Returns the version, if the value is a plan.
    fn replace_if_newer(&mut self, value: &[u8], revision: Revision) -> Option<Version> {
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
        self.value = value.to_vec();
        let old = self.plan.send_replace(Some(Arc::new(plan)));
        invariant::check(
            Invariant::NoRevert,
            old.is_none_or(|old| old.version() < version),
            || format!("plan {version} replaced a newer one"),
        );
        Some(version)
    }
}

/// The active plan, shared by the follower of the store and the links to peers, which run in one thread.
#[derive(Clone, Debug)]
pub(super) struct Shared(pub(super) Rc<RefCell<ActivePlan>>);

impl SharedPlan for Shared {
    fn version(&self) -> Option<Version> {
        let active = self.0.borrow();
        let plan = active.plan.borrow();
        plan.as_ref().map(|plan| plan.version())
    }

    fn confirmed(&self) -> Option<(Version, Duration)> {
        let active = self.0.borrow();
        let as_of = *active.confirmed.borrow();
        Some((active.confirmed_version?, as_of?))
    }

    fn text(&self) -> Option<(Version, String)> {
        let version = self.version()?;
        let text = String::from_utf8(self.0.borrow().value.clone()).ok()?;
        Some((version, text))
    }

    fn confirm(&self, version: Version, as_of: Duration) {
        self.0.borrow_mut().confirm(Some(version), as_of);
    }

    fn adopt(&self, text: &str) {
        // The revision of the store is not known.
        self.0
            .borrow_mut()
            .replace_if_newer(text.as_bytes(), Revision::default());
    }
}
