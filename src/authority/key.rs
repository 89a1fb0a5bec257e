//! Keys of the groups in the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Config, Result};
use crate::{
    error::{Error, Kind},
    id::{Fence, Group, Incarnation, Process, Revision},
    store::{Compare, Item, Lease, Path, Store, Txn, Write},
};

/// Prefix of the group keys.
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
pub(super) enum Creation {
    /// The key was created at this revision.
    Created(Fence),
    /// The key exists already.
    Exists(Item),
}

/// Creates the key of a group under a lease, unless it exists.
pub(super) async fn create(config: &Config, group: &Group, lease: Lease) -> Result<Creation> {
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
        return Ok(Creation::Created(Fence::new(commit.revision.get())));
    }
    let found = commit.found.pop().map(Creation::Exists);
    found.ok_or_else(|| Error::new(Kind::StoreUnavailable, "the key of the group is missing"))
}

fn path_of(group: &Group) -> Result<Path> {
    Ok(root()?.join(group))
}

/// Holder of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupHolder {
    /// Entry that holds the group.
    pub process: Process,
    /// Fencing number of the orders of this holder.
    pub fence: Fence,
}

/// Reads the holder of each group from the store, for operators. The result may be out of date when
/// it is returned.
///
/// # Errors
///
/// `Kind::StoreUnavailable` if the keys cannot be read.
pub async fn holders(store: &dyn Store) -> Result<BTreeMap<Group, GroupHolder>> {
    let range = store.range(root()?).await?;
    let tenures = range.items.into_iter().filter_map(|item| {
        let owner: Owner = serde_json::from_slice(&item.value).ok()?;
        let fence = Fence::new(item.created.get());
        Some((
            group_of(&item.path)?,
            GroupHolder {
                process: owner.process,
                fence,
            },
        ))
    });
    Ok(tenures.collect())
}

/// Group of a key, if it is the key of a group.
pub(super) fn group_of(path: &Path) -> Option<Group> {
    let name = path.as_str().strip_prefix(ROOT)?.strip_prefix('/')?;
    name.parse().ok()
}

pub(super) fn root() -> Result<Path> {
    ROOT.parse()
}

/// Whether a key was created by this run of the process under `lease`.
pub(super) fn is_own(config: &Config, lease: Lease, item: &Item) -> bool {
    let owner = serde_json::from_slice::<Owner>(&item.value);
    owner.is_ok_and(|owner| owner.incarnation == config.incarnation && owner.lease == lease.get())
}

/// Deletes the key of a group if it is still the one that was created at the revision `fence`.
pub(super) async fn delete(store: &dyn Store, group: &Group, fence: Fence) -> Result<()> {
    let path = path_of(group)?;
    let created = Revision::new(fence.get());
    let txn = Txn {
        compares: vec![Compare::Created(path.clone(), created)],
        writes: vec![Write::Delete(path)],
    };
    store.commit(txn).await.map(drop)
}
