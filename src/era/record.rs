use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Result;
use crate::{
    error::{Error, Kind},
    store::{Compare, Era, Path, Store, Txn, Write},
};

/// Most by which the time in a record is behind. A process that is not linked yet dates it by its own wall clock,
/// which may have jumped by seconds.
const CLOCK_ERROR_MAX: Duration = Duration::from_secs(5);
/// Records of earlier eras that are removed at a time, so that the transaction stays small.
const REMOVED_MAX: usize = 16;

/// An era of the store, and since when it is known. The store keeps it without a lease. A copy from which the
/// store is restored can hold the records of earlier eras only, so a record of the current era shows that the
/// store has lost nothing since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The era.
    pub era: Era,
    /// Unix time at which the store was in this era.
    pub since: Duration,
}

/// Value of the entry of an era.
#[derive(Serialize, Deserialize)]
struct Value {
    since_ms: u64,
}

impl Record {
    /// For how long the era is certainly known at `now`, a Unix time. Allows for wall clocks that are off by
    /// seconds.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since + CLOCK_ERROR_MAX)
    }

    /// Reads the record of the current era below `prefix`. If there is none, creates it from what this process knows,
    /// and removes those of other eras. Returns `None` if the store is in another era than the known one and has no
    /// record of it.
    ///
    /// # Errors
    ///
    /// Those of the store.
    pub async fn read_or_create(
        store: &dyn Store,
        prefix: &Path,
        known: Option<Self>,
    ) -> Result<Option<Self>> {
        let eras = prefix.join(&"eras");
        let range = store.range(eras.clone()).await?;
        let path = eras.join(&range.era);
        if let Some(item) = range.items.iter().find(|item| item.path == path) {
            return Ok(Self::decode(range.era, &item.value));
        }
        let Some(known) = known.filter(|known| known.era == range.era) else {
            return Ok(None);
        };
        let removals = range.items.into_iter().take(REMOVED_MAX);
        let mut writes = vec![Write::Put(path.clone(), known.encode()?, None)];
        writes.extend(removals.map(|item| Write::Delete(item.path)));
        let txn = Txn {
            compares: vec![Compare::Absent(path)],
            writes,
        };
        let commit = store.commit(txn).await?;
        if commit.succeeded {
            log::info!(era:% = known.era, since_ms = known.since.as_millis(); "era of the store recorded");
            return Ok(Some(known));
        }
        let found = commit.found.first();
        Ok(found.and_then(|item| Self::decode(known.era, &item.value)))
    }

    fn encode(&self) -> Result<Vec<u8>> {
        let since_ms = u64::try_from(self.since.as_millis()).unwrap_or(u64::MAX);
        serde_json::to_vec(&Value { since_ms })
            .map_err(|error| Error::new(Kind::Internal, "cannot encode an era").with_source(error))
    }

    fn decode(era: Era, value: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(value)
            .inspect_err(
                |error| log::warn!(era:% = era, error:% = error; "skipping unreadable record of an era"),
            )
            .ok()?;
        let since = Duration::from_millis(value.since_ms);
        Some(Self { era, since })
    }
}
