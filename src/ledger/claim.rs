use std::{rc::Rc, time::Duration};

use rand::{Rng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{
    Outcome, Result,
    batch::{Job, Settled},
    imp::{Entry, presence_path},
};
use crate::{
    error::{Error, Executed, Kind},
    id::Revision,
    invariant::{self, Point},
    store::{Item, Path, Store},
};

/// Transactions for one claim: a second one if the claim that was in the way is gone.
const CLAIM_TRIES: usize = 2;
/// First pause of a retried write.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause of a retried write.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Time after which a lost write does not arrive any more: twice the limit of a store call, and a
/// margin.
const LATE_MAX: Duration = Duration::from_secs(5);

/// Decision of the store about a claim.
#[derive(Debug)]
pub(super) enum Arbitration {
    /// The claim belongs to the attempt.
    Held(Revision),
    /// The operation ended before.
    Ended(Outcome),
    /// Another attempt holds the claim, or the claim was certainly not written.
    Refused(Error),
    /// The claim is not confirmed and may exist.
    Lost(Error),
}

/// Writes one claim key by way of the queue.
#[derive(Clone, Debug)]
pub(super) struct Writer {
    pub(super) store: Rc<dyn Store>,
    pub(super) jobs: mpsc::UnboundedSender<Job>,
    pub(super) path: Path,
    pub(super) entry: Entry,
}

impl Writer {
    async fn submit(&self, modified: Option<Revision>, value: Option<Vec<u8>>) -> Result<Settled> {
        let (reply, settled) = oneshot::channel();
        let job = Job {
            path: self.path.clone(),
            modified,
            value,
            reply,
        };
        let ended = || Error::new(Kind::Internal, "the queue of the ledger has ended");
        self.jobs.send(job).map_err(|_gone| ended())?;
        settled.await.map_err(|_gone| ended())?
    }

    /// Creates the claim, or finds out who holds it.
    pub(super) async fn claim(&self) -> Arbitration {
        let value = match self.entry.encode() {
            Ok(value) => value,
            Err(error) => return Arbitration::Refused(error.with_executed(Executed::No)),
        };
        for _ in 0..CLAIM_TRIES {
            match self.submit(None, Some(value.clone())).await {
                Ok(Settled::Applied(revision)) => return Arbitration::Held(revision),
                Ok(Settled::Conflict(None)) => {}
                Ok(Settled::Conflict(Some(item))) if item.value == value => {
                    return Arbitration::Held(item.modified);
                }
                Ok(Settled::Conflict(Some(item))) => return self.judge(&item).await,
                Err(error) => {
                    let unknown = error.executed() == Executed::Unknown;
                    let error = unavailable().with_source(error);
                    return if unknown {
                        Arbitration::Lost(error)
                    } else {
                        Arbitration::Refused(error)
                    };
                }
            }
        }
        Arbitration::Refused(Error::new(Kind::InProgress, "the claim keeps changing"))
    }

    /// Decides about a claim that exists. A claim that this run does not know is left by a lost
    /// answer; it is being removed or was left for good, and is never taken over.
    async fn judge(&self, item: &Item) -> Arbitration {
        let found = match Entry::decode(&item.value) {
            Ok(found) => found,
            Err(error) => return Arbitration::Refused(error),
        };
        if found.digest != self.entry.digest {
            return Arbitration::Refused(key_reused());
        }
        if let Some(outcome) = found.outcome {
            return Arbitration::Ended(outcome);
        }
        Arbitration::Refused(match self.owner_runs(&found).await {
            Ok(false) => Error::new(Kind::Unsettled, "the agent that ran the operation is gone"),
            Ok(true) | Err(_) => in_progress(),
        })
    }

    async fn owner_runs(&self, found: &Entry) -> Result<bool> {
        let range = self.store.get(presence_path(&found.endpoint)?).await?;
        let owner = found.incarnation.to_string();
        Ok(range
            .items
            .iter()
            .any(|item| item.value == owner.as_bytes()))
    }

    /// Writes the outcome; retries until the store has it or the claim is gone.
    pub(super) async fn record(&self, modified: Revision, mut rng: StdRng) {
        let value = match self.entry.encode() {
            Ok(value) => value,
            Err(error) => return log::error!(path:% = self.path; "outcome lost: {error}"),
        };
        let mut pause = RETRY_MIN;
        loop {
            match self.submit(Some(modified), Some(value.clone())).await {
                Ok(Settled::Applied(_)) => return,
                Ok(Settled::Conflict(None)) => {
                    return log::warn!(path:% = self.path; "the claim lapsed before its outcome");
                }
                Ok(Settled::Conflict(Some(item))) => {
                    return invariant::check(Point::AtMostOnce, item.value == value, || {
                        format!("claim {} changed hands while its owner ran it", self.path)
                    });
                }
                Err(_unavailable) => back_off(&mut pause, &mut rng).await,
            }
        }
    }

    /// Removes the claim of an operation that did not start. Without a revision, the claim may
    /// not exist, or not exist yet.
    pub(super) async fn release(&self, modified: Option<Revision>, mut rng: StdRng) {
        let mut pause = RETRY_MIN;
        if let Some(revision) = modified
            && self.submit(Some(revision), None).await.is_ok()
        {
            return;
        }
        let mut may_arrive = modified.is_none();
        loop {
            match self.remove_present().await {
                Ok(false) if may_arrive => {
                    may_arrive = false;
                    time::sleep(LATE_MAX).await;
                }
                Ok(_) => return,
                Err(_unavailable) => back_off(&mut pause, &mut rng).await,
            }
        }
    }

    /// Removes the claim of this attempt. False if there is none.
    async fn remove_present(&self) -> Result<bool> {
        let value = self.entry.encode()?;
        let range = self.store.get(self.path.clone()).await?;
        let own = range.items.into_iter().find(|item| item.value == value);
        let Some(item) = own else {
            return Ok(false);
        };
        self.submit(Some(item.modified), None).await?;
        Ok(true)
    }
}

/// Waits with jitter, so that agents do not return to the store in step.
async fn back_off(pause: &mut Duration, rng: &mut StdRng) {
    time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
    *pause = (*pause * 2).min(RETRY_MAX);
}

pub(super) fn key_reused() -> Error {
    Error::new(Kind::KeyReused, "the key was used with another body")
}

pub(super) fn in_progress() -> Error {
    Error::new(Kind::InProgress, "another attempt runs the operation")
}

pub(super) fn unavailable() -> Error {
    Error::new(Kind::StoreUnavailable, "the claim could not be confirmed")
        .with_executed(Executed::No)
}
