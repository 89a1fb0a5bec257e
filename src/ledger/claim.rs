use std::{rc::Rc, time::Duration};

use rand::{Rng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{
    Outcome, Result,
    batch::{CasRequest, CasResult},
    imp::{StoredClaim, presence_path},
};
use crate::{
    error::{Error, Executed, Kind},
    id::Revision,
    invariant::{self, Invariant},
    store::{Item, Path, Store},
};

/// Largest number of transactions per claim. The second one runs only if the first found another
/// claim that has been removed since.
const CLAIM_TRIES_MAX: usize = 2;
/// Delay before the first retry of a write. It doubles with each retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay before a retry of a write.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Time after which a write whose response was lost can no longer take effect: twice the timeout of
/// a store call, and a margin.
const LATE_WRITE_MAX: Duration = Duration::from_secs(5);

/// Result of creating a claim.
#[derive(Debug)]
pub(super) enum ClaimResult {
    /// The claim was created for this attempt, at this revision.
    Held(Revision),
    /// The operation has already ended with this outcome.
    Ended(Outcome),
    /// The attempt certainly does not hold the claim: it was not written, or one exists that
    /// belongs to another attempt, has another request body or is not readable.
    Refused(Error),
    /// It is not known whether the claim was written, so it may exist.
    Unconfirmed(Error),
}

/// Writes and reads the store key of one claim. Writes go through the queue of the
/// [`Batcher`](super::batch::Batcher), which combines them into transactions.
#[derive(Clone, Debug)]
pub(super) struct ClaimWriter {
    pub(super) store: Rc<dyn Store>,
    pub(super) requests: mpsc::UnboundedSender<CasRequest>,
    pub(super) path: Path,
    pub(super) entry: StoredClaim,
}

impl ClaimWriter {
    /// Queues a conditional write and waits for its result. `expected` is the revision that the key
    /// must have, or `None` if it must not exist. A `value` of `None` deletes the key.
    async fn submit(
        &self,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
    ) -> Result<CasResult> {
        let (reply, result) = oneshot::channel();
        let request = CasRequest {
            path: self.path.clone(),
            expected,
            value,
            reply,
        };
        let ended = || Error::new(Kind::Internal, "the queue of the ledger has ended");
        self.requests.send(request).map_err(|_closed| ended())?;
        result.await.map_err(|_closed| ended())?
    }

    /// Creates the claim, or determines the state of the existing one.
    pub(super) async fn claim(&self) -> ClaimResult {
        let value = match self.entry.encode() {
            Ok(value) => value,
            Err(error) => return ClaimResult::Refused(error.with_executed(Executed::No)),
        };
        for _ in 0..CLAIM_TRIES_MAX {
            match self.submit(None, Some(value.clone())).await {
                Ok(CasResult::Applied(revision)) => return ClaimResult::Held(revision),
                Ok(CasResult::Conflict(None)) => {}
                Ok(CasResult::Conflict(Some(item))) if item.value == value => {
                    return ClaimResult::Held(item.modified);
                }
                Ok(CasResult::Conflict(Some(item))) => return self.resolve_conflict(&item).await,
                Err(error) => {
                    // The outer error says that the operation has not run, which is certain also if
                    // it is unknown whether the write has.
                    let may_be_written = error.executed() == Executed::Unknown;
                    let error = unavailable().with_source(error);
                    return if may_be_written {
                        ClaimResult::Unconfirmed(error)
                    } else {
                        ClaimResult::Refused(error)
                    };
                }
            }
        }
        ClaimResult::Refused(Error::new(Kind::InProgress, "the claim keeps changing"))
    }

    /// Determines the result for an existing claim of another attempt.
    ///
    /// The claim may name this incarnation although the ledger does not hold it: it was then left
    /// by a write whose response was lost. Such a claim is not taken over. It is refused like that
    /// of any running agent, because its removal may be pending.
    async fn resolve_conflict(&self, item: &Item) -> ClaimResult {
        let found = match StoredClaim::decode(&item.value) {
            Ok(found) => found,
            Err(error) => return ClaimResult::Refused(error),
        };
        if found.digest != self.entry.digest {
            return ClaimResult::Refused(key_reused());
        }
        if let Some(outcome) = found.outcome {
            return ClaimResult::Ended(outcome);
        }
        ClaimResult::Refused(match self.owner_is_present(&found).await {
            Ok(false) => Error::new(Kind::Unsettled, "the agent that ran the operation is gone"),
            Ok(true) | Err(_) => in_progress(),
        })
    }

    async fn owner_is_present(&self, found: &StoredClaim) -> Result<bool> {
        let range = self.store.get(presence_path(&found.endpoint)?).await?;
        let owner = found.incarnation.to_string();
        Ok(range
            .items
            .iter()
            .any(|item| item.value == owner.as_bytes()))
    }

    /// Writes the outcome to the claim, whose current revision is `revision`. Retries failed writes
    /// until the outcome is stored, or the claim is found to be removed or replaced. A failure to
    /// encode the outcome is logged and not retried.
    pub(super) async fn record(&self, revision: Revision, mut rng: StdRng) {
        let value = match self.entry.encode() {
            Ok(value) => value,
            Err(error) => {
                return log::error!(path:% = self.path; "failed to encode the outcome: {error}");
            }
        };
        let mut delay = RETRY_DELAY_MIN;
        loop {
            match self.submit(Some(revision), Some(value.clone())).await {
                Ok(CasResult::Applied(_)) => return,
                Ok(CasResult::Conflict(None)) => {
                    log::warn!(path:% = self.path; "claim is gone; its outcome was not stored");
                    return;
                }
                Ok(CasResult::Conflict(Some(item))) => {
                    return invariant::check(Invariant::AtMostOnce, item.value == value, || {
                        format!(
                            "claim {} was replaced while its owner ran the operation",
                            self.path
                        )
                    });
                }
                Err(_error) => back_off(&mut delay, &mut rng).await,
            }
        }
    }

    /// Removes the claim of an operation that did not start. `revision` is the current revision of
    /// the claim, or `None` if it was not confirmed: it may not exist, or a late write may still
    /// create it.
    pub(super) async fn release(&self, revision: Option<Revision>, mut rng: StdRng) {
        let mut delay = RETRY_DELAY_MIN;
        if let Some(revision) = revision
            && self.submit(Some(revision), None).await.is_ok()
        {
            return;
        }
        let mut late_write_possible = revision.is_none();
        loop {
            match self.remove_own_claim().await {
                Ok(false) if late_write_possible => {
                    late_write_possible = false;
                    time::sleep(LATE_WRITE_MAX).await;
                }
                Ok(_) => return,
                Err(_error) => back_off(&mut delay, &mut rng).await,
            }
        }
    }

    /// Removes the claim of this attempt. Returns whether it existed.
    async fn remove_own_claim(&self) -> Result<bool> {
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

/// Sleeps and doubles the delay. Jitter keeps agents from retrying in lockstep.
async fn back_off(delay: &mut Duration, rng: &mut StdRng) {
    time::sleep(delay.mul_f64(rng.random_range(0.5..1.0))).await;
    *delay = (*delay * 2).min(RETRY_DELAY_MAX);
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
