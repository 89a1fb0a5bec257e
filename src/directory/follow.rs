use std::{
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use rand::Rng;
use tokio::{
    task::{self, AbortHandle},
    time,
};

use crate::{
    clock,
    error::{Error, Kind, Result},
    id::Revision,
    store::{Era, Event, Item, Path, Reader},
};

/// Delay before the first retry after a failed call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between retries, and so until a recovered store is detected.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);

/// Change of the store's availability, as seen by a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// A call failed after earlier ones succeeded, or the first call failed.
    Unavailable,
    /// A call succeeded after earlier ones failed. The last of these was made at this time, so the store
    /// did not return long before it.
    Available(Instant),
}

impl fmt::Display for Availability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "lost",
            Self::Available(_) => "regained",
        })
    }
}

/// Update that a follower passes to its [`UpdateSink`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All entries with the prefix.
    Snapshot(Vec<Item>),
    /// Changes since the previous update. Empty if the store confirmed that there are none.
    Changes(Vec<Event>),
    /// The store was restored from an older copy. A snapshot follows; its revisions are not comparable
    /// with earlier ones.
    Restored,
    /// The availability of the store changed.
    Availability(Availability),
}

/// Receives the updates of a follower, in order. The second argument is the time since boot at which the
/// call was sent that led to the update, or an earlier time: a snapshot or a list of changes shows what
/// the store had acknowledged by then.
pub type UpdateSink = Box<dyn FnMut(Update, Duration)>;

/// Starts a task that follows all keys with `prefix`: it reads them, then watches for changes.
/// After a failure, or when the store has compacted the revision at which the watch starts, it
/// reads all keys again; without delay if the store was restored from an older copy.
///
/// After each batch of changes it waits for `batch_delay`, so that frequent changes of many keys, such
/// as heartbeats, are received in one call. A change is received later by this time at most.
#[must_use]
pub fn follow(
    store: Rc<dyn Reader>,
    prefix: Path,
    batch_delay: Duration,
    clock: clock::Shared,
    sink: UpdateSink,
) -> AbortHandle {
    let follower = Follower {
        store,
        prefix,
        batch_delay,
        sink,
        is_available: None,
        last_call: clock.now(),
        sent: clock.since_boot(),
        clock,
        last_read: None,
    };
    task::spawn_local(follower.run()).abort_handle()
}

struct Follower {
    store: Rc<dyn Reader>,
    prefix: Path,
    batch_delay: Duration,
    clock: clock::Shared,
    sink: UpdateSink,
    /// `None` before the first call has ended.
    is_available: Option<bool>,
    /// When the last call was made, or the last call of a watch at the latest.
    last_call: Instant,
    /// The same, as the time since boot.
    sent: Duration,
    /// Era and revision of the last read of all keys.
    last_read: Option<(Era, Revision)>,
}

impl Follower {
    async fn run(mut self) {
        let mut delay = RETRY_DELAY_MIN;
        let mut restored_at: Option<Instant> = None;
        loop {
            let start = self.clock.now();
            let error = match self.read_and_watch().await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            let now = self.clock.now();
            if error.kind() == Kind::StoreRestored {
                // Answers that alternate between eras must not cause reads without a pause.
                let again = restored_at.replace(now);
                if again.is_none_or(|at| now - at > RETRY_DELAY_MAX) {
                    continue;
                }
            } else {
                self.record_failure(&error);
            }
            // A cycle that lasted for a while shows that the store is available.
            if now - start > RETRY_DELAY_MAX {
                delay = RETRY_DELAY_MIN;
            }
            // Jitter avoids simultaneous reads by processes that lost the store at the same time.
            let jitter = rand::rng().random_range(0.5..1.0);
            time::sleep(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    async fn read_and_watch(&mut self) -> Result<std::convert::Infallible> {
        let failed_call = self.last_call;
        self.record_call();
        let range = self.store.range(self.prefix.clone()).await?;
        self.record_success(range.revision, failed_call);
        log::debug!(prefix:% = self.prefix, revision:% = range.revision,
            entries = range.items.len(); "read all keys with the prefix");
        let from = range.next();
        let last_read = self.last_read.replace((range.era, range.revision));
        if let Some((era, revision)) = last_read
            && era != range.era
        {
            log::warn!(prefix:% = self.prefix, era:% = range.era, before:% = era,
                revision:% = range.revision, revision_before:% = revision,
                entries = range.items.len();
                "store was restored from an older copy; read all keys again");
            self.pass(Update::Restored);
        }
        self.pass(Update::Snapshot(range.items));
        let mut events = self.store.watch(self.prefix.clone(), from).await?;
        loop {
            // A watch sends its next call no earlier than when it is polled for the answer.
            self.record_call();
            let batch = events.next().await;
            let batch = batch
                .ok_or_else(|| Error::new(Kind::StoreUnavailable, "the watch has ended"))??;
            let quiet = batch.is_empty();
            self.pass(Update::Changes(batch));
            if !quiet {
                time::sleep(self.batch_delay).await;
            }
        }
    }

    fn record_call(&mut self) {
        self.last_call = self.clock.now();
        self.sent = self.clock.since_boot();
    }

    fn pass(&mut self, update: Update) {
        (self.sink)(update, self.sent);
    }

    fn record_success(&mut self, revision: Revision, failed_call: Instant) {
        if self.is_available == Some(false) {
            log::info!(prefix:% = self.prefix, revision:% = revision,
                failed_call_ms = (self.clock.now() - failed_call).as_millis();
                "store is available again");
            self.pass(Update::Availability(Availability::Available(failed_call)));
        }
        self.is_available = Some(true);
    }

    fn record_failure(&mut self, error: &Error) {
        if self.is_available != Some(false) {
            log::warn!(prefix:% = self.prefix, error:% = error; "store is unavailable; retrying");
            self.pass(Update::Availability(Availability::Unavailable));
        }
        self.is_available = Some(false);
    }
}
