//! Keys of groups in the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Config, Result};
use crate::{
    error::{Error, Kind},
    id::{Fence, Group, Incarnation, Process, Revision},
    store::{Compare, Item, Lease, Path, Store, Txn, Write},
};

/// Store key above the groups.
const ROOT: &str = "/mulberrymill/authority";

/// Value of a group's key.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Owner {
    process: Process,
    incarnation: Incarnation,
    lease: i64,
}

/// Result of an attempt to create a key.
pub(super) enum Taken {
    /// Created at this revision.
    New(Fence),
    /// It exists.
    Found(Item),
}

pub(super) async fn take(config: &Config, group: &Group, lease: Lease) -> Result<Taken> {
    let path = path_of(group)?;
    let owner = Owner {
        process: config.process.clone(),
        incarnation: config.incarnation,
        lease: lease.get(),
    };
    let value = serde_json::to_vec(&owner).map_err(|error| {
        Error::new(Kind::Internal, "cannot encode the owner").with_source(error)
    })?;
    let txn = Txn {
        compares: vec![Compare::Absent(path.clone())],
        writes: vec![Write::Put(path, value, Some(lease))],
    };
    let mut commit = config.store.commit(txn).await?;
    if commit.succeeded {
        return Ok(Taken::New(Fence::new(commit.revision.get())));
    }
    let found = commit.found.pop().map(Taken::Found);
    found.ok_or_else(|| Error::new(Kind::StoreUnavailable, "the key of the group is missing"))
}

fn path_of(group: &Group) -> Result<Path> {
    Ok(root()?.join(group))
}

/// Who holds a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tenure {
    /// The entry that holds it.
    pub process: Process,
    /// Its fencing number.
    pub fence: Fence,
}

/// Reads who holds each group, for operators. By the time of the answer it may have changed.
///
/// # Errors
///
/// `Kind::StoreUnavailable`.
pub async fn holders(store: &dyn Store) -> Result<BTreeMap<Group, Tenure>> {
    let range = store.range(root()?).await?;
    let tenures = range.items.into_iter().filter_map(|item| {
        let owner: Owner = serde_json::from_slice(&item.value).ok()?;
        let fence = Fence::new(item.created.get());
        Some((
            group(&item.path)?,
            Tenure {
                process: owner.process,
                fence,
            },
        ))
    });
    Ok(tenures.collect())
}

/// The group of a key.
pub(super) fn group(path: &Path) -> Option<Group> {
    let name = path.as_str().strip_prefix(ROOT)?.strip_prefix('/')?;
    name.parse().ok()
}

pub(super) fn root() -> Result<Path> {
    ROOT.parse()
}

/// Whether a key was created by this process under a lease.
pub(super) fn is_own(config: &Config, lease: Lease, item: &Item) -> bool {
    let owner = serde_json::from_slice::<Owner>(&item.value);
    owner.is_ok_and(|owner| owner.incarnation == config.incarnation && owner.lease == lease.get())
}

/// Deletes a key if it is still the one that was created at `fence`.
pub(super) async fn delete(store: &dyn Store, group: &Group, fence: Fence) -> Result<()> {
    let path = path_of(group)?;
    let created = Revision::new(fence.get());
    let txn = Txn {
        compares: vec![Compare::Created(path.clone(), created)],
        writes: vec![Write::Delete(path)],
    };
    store.commit(txn).await.map(drop)
}
