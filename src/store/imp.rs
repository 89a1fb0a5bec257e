use std::{collections::BTreeSet, fmt, str::FromStr, time::Duration};

use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};

use super::Result;
use crate::{
    error::{Error, Kind},
    id::Revision,
};

/// Longest key, in bytes.
const PATH_MAX: usize = 512;
/// Longest value, in bytes: the platform's limit.
const VALUE_MAX: usize = 1 << 20;
/// Most conditions and writes of one transaction, the default limit of etcd.
const TXN_MAX: usize = 128;
/// Limit of one call. A store that answers later counts as down.
pub(super) const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A key of the store, such as `/mulberrymill/config/models`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Path(String);

impl Path {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A key below this one.
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
            && text.len() <= PATH_MAX
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if valid {
            Ok(Self(text.to_owned()))
        } else {
            Err(Error::new(Kind::BadRequest, "invalid store key"))
        }
    }
}

/// A lease of the store. Keys that are bound to it vanish with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(i64);

impl Lease {
    /// Wraps the store's number.
    #[must_use]
    pub const fn new(number: i64) -> Self {
        Self(number)
    }

    /// The store's number.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Lease {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid lease"))
    }
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub path: Path,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of the store when the key was created.
    pub created: Revision,
    /// Revision of the store when the key was last written.
    pub modified: Revision,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// Keys in order.
    pub items: Vec<Item>,
    /// Revision of the store at the time of the read.
    pub revision: Revision,
}

/// A condition of a transaction.
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
    /// The key that is compared.
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
    /// Sets a key, bound to a lease if one is given.
    Put(Path, Vec<u8>, Option<Lease>),
    /// Removes a key.
    Delete(Path),
}

/// A transaction: all writes take effect if all comparisons hold, else none does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Writes, each of another key. At most 128 in all with the conditions.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Refuses what the store would refuse, before it is sent.
    ///
    /// # Errors
    ///
    /// `Kind::TooLarge` for too many parts or too large a value; `Kind::BadRequest` for two writes
    /// of one key, or for a comparison with revision 0, which etcd takes for an absent key.
    pub fn check(&self) -> Result<()> {
        if self.compares.len() + self.writes.len() > TXN_MAX {
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
            if size > VALUE_MAX {
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
    /// Whether the conditions held and the writes took effect.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// If it did not succeed: the present state of the compared keys that exist.
    pub found: Vec<Item>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub path: Path,
    /// What happened.
    pub change: Change,
    /// Revision of the store at the change.
    pub revision: Revision,
}

/// What happened to a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Written.
    Put(Vec<u8>),
    /// Removed, by a request or with its lease.
    Delete,
}

/// A pending call of the store. Not `Send`: each process talks to the store from one thread.
pub type Future<'a, T> = LocalBoxFuture<'a, Result<T>>;

/// Batches of changes, in the order of their revisions. An empty batch shows that the store has
/// answered. After an error the stream ends.
pub type Events = LocalBoxStream<'static, Result<Vec<Event>>>;

/// The reading half of the platform's key-value store.
///
/// Every method fails with `Kind::StoreUnavailable`.
pub trait Reader: fmt::Debug {
    /// Reads one key.
    fn get(&self, path: Path) -> Future<'_, Range>;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: Path) -> Future<'_, Range>;

    /// Watches all keys that start with `prefix`, from a revision on.
    fn watch(&self, prefix: Path, from: Revision) -> Future<'_, Events>;
}

/// The platform's key-value store.
///
/// Every method fails with `Kind::StoreUnavailable`. Its `executed` tells whether a write may have
/// taken effect: `no` if the call certainly did not reach the store, else `unknown`.
pub trait Store: Reader {
    /// Runs a transaction.
    fn commit(&self, txn: Txn) -> Future<'_, Commit>;

    /// Takes out a lease. Its period starts when the store handles the call, so a holder has to
    /// count from the time at which it sent the call.
    fn grant(&self, period: Duration) -> Future<'_, Lease>;

    /// Renews a lease. `false` if it has lapsed.
    fn renew(&self, lease: Lease) -> Future<'_, bool>;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: Lease) -> Future<'_, ()>;
}
