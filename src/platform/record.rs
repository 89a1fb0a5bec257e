//! JSON encoding of the items, events and transactions of the platform's store.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    id::Revision,
    store::{Change, Compare, Event, Item, Lease, Path, Txn, Write},
};

#[derive(Deserialize)]
pub(super) struct Entry {
    pub(super) key: String,
    #[serde(default)]
    value: String,
    pub(super) rev: u64,
    /// Revision at which the key was created.
    #[serde(default, rename = "createRev")]
    created: u64,
    #[serde(default)]
    pub(super) removed: bool,
}

#[derive(Deserialize)]
pub(super) struct Page {
    pub(super) items: Vec<Entry>,
    #[serde(default)]
    pub(super) truncated: bool,
    #[serde(rename = "asOf")]
    pub(super) revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Single {
    #[serde(flatten)]
    pub(super) entry: Entry,
    #[serde(rename = "asOf")]
    pub(super) revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Batch {
    pub(super) events: Vec<Entry>,
    #[serde(rename = "asOf")]
    pub(super) revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Committed {
    pub(super) rev: u64,
}

/// The current state of the compared keys.
#[derive(Deserialize)]
pub(super) struct PreconditionFailed {
    pub(super) items: Vec<Entry>,
}

#[derive(Deserialize)]
pub(super) struct Granted {
    pub(super) lease: i64,
}

/// Encodes a transaction. The platform compares only the last modification of a key, so a
/// comparison of the creation revision is right only for keys that are written once, as those of
/// the authority are.
pub(super) fn transaction(txn: &Txn) -> Value {
    let conditions = txn.compares.iter().map(|compare| {
        let revision = match compare {
            Compare::Absent(_) => 0,
            Compare::Modified(_, revision) | Compare::Created(_, revision) => revision.get(),
        };
        json!({ "key": key(compare.path()), "rev": revision })
    });
    let puts = txn.writes.iter().filter_map(|write| match write {
        Write::Put(path, value, lease) => Some(json!({
            "key": key(path),
            "value": STANDARD.encode(value),
            "lease": lease.map_or(0, Lease::get),
        })),
        Write::Delete(_) => None,
    });
    let deletes = txn.writes.iter().filter_map(|write| match write {
        Write::Delete(path) => Some(key(path)),
        Write::Put(..) => None,
    });
    json!({
        "precondition": conditions.collect::<Vec<_>>(),
        "setKeys": puts.collect::<Vec<_>>(),
        "deleteKeys": deletes.collect::<Vec<_>>(),
    })
}

/// The platform's key for a path.
pub(super) fn key(path: &Path) -> &str {
    path.as_str().trim_start_matches('/')
}

fn path(key: &str) -> Option<Path> {
    let path = format!("/{key}").parse();
    path.inspect_err(|_| log::warn!(key = key; "skipping store entry with an invalid key"))
        .ok()
}

fn value(entry: &Entry) -> Option<Vec<u8>> {
    let value = STANDARD.decode(&entry.value);
    value
        .inspect_err(|error| {
            log::warn!(key = entry.key, error:% = error; "skipping undecodable store value");
        })
        .ok()
}

pub(super) fn item(entry: &Entry) -> Option<Item> {
    Some(Item {
        path: path(&entry.key)?,
        value: value(entry)?,
        created: Revision::new(entry.created),
        modified: Revision::new(entry.rev),
    })
}

pub(super) fn event(entry: &Entry) -> Option<Event> {
    let change = if entry.removed {
        Change::Delete
    } else {
        Change::Put(value(entry)?)
    };
    Some(Event {
        path: path(&entry.key)?,
        change,
        revision: Revision::new(entry.rev),
    })
}
