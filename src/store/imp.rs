use std::{collections::BTreeSet, fmt, str::FromStr, time::Duration};

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::Result;
use crate::{
    error::{Error, Kind},
    id::Revision,
};

/// Maximum length of a key.
const PATH_MAX_BYTES: usize = 512;
/// Maximum length of a value, set by the platform.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Maximum number of comparisons and writes in a transaction, the default limit of etcd.
const TXN_MAX_PARTS: usize = 128;
/// Timeout of one call. A store that responds later counts as unavailable.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A key of the store, such as `/mulberrymill/config/models`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Path(String);

impl Path {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Appends a `/` and `name`. The result is not validated.
    #[must_use]
    pub fn join(&self, name: &impl fmt::Display) -> Self {
        Self(format!("{}/{name}", self.0))
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Path {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let valid = text.starts_with('/')
            && text.len() <= PATH_MAX_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if valid {
            Ok(Self(text.to_owned()))
        } else {
            Err(Error::new(Kind::BadRequest, "invalid store key"))
        }
    }
}

/// Number of times that the store was restored from an older copy of itself. Revisions and lease
/// numbers are given out again after a restore, so they are comparable only within an era. A store
/// that does not state an era has only the default one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(u64);

impl Era {
    /// Creates an era from the number that the store states.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number that the store states.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Era {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid era of the store"))
    }
}

/// Id of a lease. Keys bound to the lease are deleted when it expires or is revoked. In another era of
/// the store, the number may belong to a lease of another process, so the lease counts as expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    number: i64,
    era: Era,
}

impl Lease {
    /// Creates a lease id from the number that the store assigned, in the default era.
    #[must_use]
    pub const fn new(number: i64) -> Self {
        Self {
            number,
            era: Era::new(0),
        }
    }

    /// Sets the era in which the lease was granted.
    #[must_use]
    pub const fn with_era(mut self, era: Era) -> Self {
        self.era = era;
        self
    }

    /// The era in which the lease was granted.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// The number that the store assigned.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.number
    }
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.number, f)
    }
}

impl FromStr for Lease {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self::new)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid lease"))
    }
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub path: Path,
    /// The value, at most 1 MiB.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision at which the key was last written.
    pub modified: Revision,
}

/// Result of a read of one key or of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// Keys in ascending order, with their values.
    pub items: Vec<Item>,
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// Era of the store at the time of the read.
    pub era: Era,
}

impl Range {
    /// Position at which a watch continues this read.
    #[must_use]
    pub const fn next(&self) -> Position {
        Position {
            revision: Revision::new(self.revision.get().saturating_add(1)),
            era: Some(self.era),
        }
    }
}

/// Position in the history of the store at which a watch starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// First revision to report. If it is 0, the watch starts with the next change.
    pub revision: Revision,
    /// Era to which the revision belongs; `None` for that of the first answer.
    pub era: Option<Era>,
}

impl From<Revision> for Position {
    fn from(revision: Revision) -> Self {
        Self {
            revision,
            era: None,
        }
    }
}

/// A comparison of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(Path),
    /// The key exists and was last written at this revision.
    Modified(Path, Revision),
    /// The key exists and was created at this revision.
    Created(Path, Revision),
}

impl Compare {
    /// The compared key.
    #[must_use]
    pub fn path(&self) -> &Path {
        match self {
            Self::Absent(path) | Self::Modified(path, _) | Self::Created(path, _) => path,
        }
    }
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets a key. Binds it to the lease if there is one, else removes its binding.
    Put(Path, Vec<u8>, Option<Lease>),
    /// Deletes a key.
    Delete(Path),
}

/// A transaction: all writes take effect if all comparisons succeed, else none does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Comparisons.
    pub compares: Vec<Compare>,
    /// Writes, each to a different key. At most 128 together with the comparisons.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Checks the transaction against the limits of the store before it is sent.
    ///
    /// # Errors
    ///
    /// `Kind::TooLarge` for too many parts or too large a value; `Kind::BadRequest` for two writes
    /// to one key, or for a comparison with revision 0, which etcd treats as an absent key.
    pub fn check(&self) -> Result<()> {
        if self.compares.len() + self.writes.len() > TXN_MAX_PARTS {
            return Err(Error::new(
                Kind::TooLarge,
                "the transaction has too many parts",
            ));
        }
        let zero = Revision::default();
        let mut paths = BTreeSet::new();
        let compares_zero = self.compares.iter().any(|compare| match compare {
            Compare::Absent(_) => false,
            Compare::Modified(_, revision) | Compare::Created(_, revision) => *revision == zero,
        });
        if compares_zero {
            return Err(Error::new(
                Kind::BadRequest,
                "a comparison names revision 0",
            ));
        }
        for write in &self.writes {
            let (path, size) = match write {
                Write::Put(path, value, _) => (path, value.len()),
                Write::Delete(path) => (path, 0),
            };
            if size > VALUE_MAX_BYTES {
                return Err(Error::new(Kind::TooLarge, "the value is larger than 1 MiB"));
            }
            if !paths.insert(path) {
                return Err(Error::new(Kind::BadRequest, "a key is written twice"));
            }
        }
        Ok(())
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Whether the comparisons succeeded and the writes took effect.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// If not `succeeded`: the compared keys that exist, with their current values. Else empty.
    pub found: Vec<Item>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub path: Path,
    /// New value, or deletion.
    pub change: Change,
    /// Revision at which the key changed.
    pub revision: Revision,
}

/// Kind of change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was set to a value.
    Put(Vec<u8>),
    /// The key was deleted, by a transaction or with its lease.
    Delete,
}

/// A pending call to the store. Not `Send`, because each process calls the store from one thread.
pub type Future<'a, T> = LocalBoxFuture<'a, Result<T>>;

/// Batches of changes, in the order of their revisions. An empty batch means that the store
/// responded without changes. The stream ends after an error, which has `Kind::StoreRestored` if the
/// store has changed to another era than that of the position at which the watch started.
pub type Events = LocalBoxStream<'static, Result<Vec<Event>>>;

/// Read access to the platform's key-value store.
///
/// Every method fails with `Kind::StoreUnavailable`, or with `Kind::StoreRestored` if the store changed
/// to another era during the read.
pub trait Reader: fmt::Debug {
    /// Reads one key.
    fn get(&self, path: Path) -> Future<'_, Range>;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: Path) -> Future<'_, Range>;

    /// Watches all keys that start with `prefix` for changes at position `from` or later. If the store
    /// answers calls instead of sending events by itself, each call is sent when the stream is polled.
    fn watch(&self, prefix: Path, from: Position) -> Future<'_, Events>;
}

/// The platform's key-value store.
///
/// Every method fails with `Kind::StoreUnavailable`. The error's `executed` is `no` if the call
/// certainly had no effect, and `unknown` if a write may have taken effect.
pub trait Store: Reader {
    /// Runs a transaction. Also fails with the errors of [`Txn::check`].
    fn commit(&self, txn: Txn) -> Future<'_, Commit>;

    /// Creates a lease. Its period starts when the store handles the call, so the holder must count
    /// it from before the call was sent.
    fn grant(&self, period: Duration) -> Future<'_, Lease>;

    /// The era of the store in its last answer, if it states one.
    fn era(&self) -> watch::Receiver<Option<Era>> {
        watch::Sender::new(None).subscribe()
    }

    /// Renews a lease for its full period. Returns `false` if it has expired.
    fn renew(&self, lease: Lease) -> Future<'_, bool>;

    /// Ends a lease and deletes its keys. Succeeds if the lease has already ended.
    fn revoke(&self, lease: Lease) -> Future<'_, ()>;
}
