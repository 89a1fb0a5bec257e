use std::{fmt, rc::Rc, time::Duration};

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
    store::{Event, Item, Path, Reader},
};

/// Shortest pause between two reads of a watch, so that the heartbeats of many endpoints cost one
/// call. A quarter of the two seconds in which a draining endpoint must be noticed.
const BATCH_PAUSE: Duration = Duration::from_millis(500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; the store is noticed within this time of its return.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Whether the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A call has failed after others had succeeded.
    Lost,
    /// A call has succeeded after others had failed.
    Regained,
}

impl fmt::Display for Contact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Lost => "lost",
            Self::Regained => "regained",
        })
    }
}

/// What a follower hands on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// All entries below the prefix.
    Snapshot(Vec<Item>),
    /// Changes since the last feed; none if the store only confirmed that there are none.
    Changes(Vec<Event>),
    /// Whether the store answers has changed.
    Contact(Contact),
}

/// Receives what the store says, in order.
pub type Sink = Box<dyn FnMut(Feed)>;

/// Follows all keys below `prefix`: a full read, then one watch. After a failure, or when the store
/// has dropped the history that the watch needs, it reads everything again.
#[must_use]
pub fn follow(
    store: Rc<dyn Reader>,
    prefix: Path,
    clock: clock::Shared,
    sink: Sink,
) -> AbortHandle {
    let follower = Follower {
        store,
        prefix,
        clock,
        sink,
        contact: None,
    };
    task::spawn_local(follower.run()).abort_handle()
}

struct Follower {
    store: Rc<dyn Reader>,
    prefix: Path,
    clock: clock::Shared,
    sink: Sink,
    contact: Option<Contact>,
}

impl Follower {
    async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        loop {
            let start = self.clock.now();
            let error = match self.cycle().await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            self.lose(&error);
            // A watch that held for a while shows that the store is well.
            if self.clock.now() - start > LONGEST_PAUSE {
                pause = FIRST_PAUSE;
            }
            // Random, so that processes that lost the store together do not return together.
            let factor = rand::rng().random_range(0.5..1.0);
            time::sleep(pause.mul_f64(factor)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn cycle(&mut self) -> Result<std::convert::Infallible> {
        let range = self.store.range(self.prefix.clone()).await?;
        self.answered(range.revision);
        log::debug!(prefix:% = self.prefix, revision:% = range.revision,
            entries = range.items.len(); "store prefix was read");
        (self.sink)(Feed::Snapshot(range.items));
        let from = Revision::new(range.revision.get() + 1);
        let mut events = self.store.watch(self.prefix.clone(), from).await?;
        loop {
            let batch = events.next().await;
            let batch = batch
                .ok_or_else(|| Error::new(Kind::StoreUnavailable, "the watch has ended"))??;
            let quiet = batch.is_empty();
            (self.sink)(Feed::Changes(batch));
            if !quiet {
                time::sleep(BATCH_PAUSE).await;
            }
        }
    }

    fn answered(&mut self, revision: Revision) {
        if self.contact == Some(Contact::Lost) {
            log::info!(prefix:% = self.prefix, revision:% = revision; "store was regained");
            (self.sink)(Feed::Contact(Contact::Regained));
        }
        self.contact = Some(Contact::Regained);
    }

    fn lose(&mut self, error: &Error) {
        if self.contact != Some(Contact::Lost) {
            log::warn!(prefix:% = self.prefix, error:% = error; "store was lost");
            (self.sink)(Feed::Contact(Contact::Lost));
        }
        self.contact = Some(Contact::Lost);
    }
}
