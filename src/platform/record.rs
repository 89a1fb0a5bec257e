//! JSON encoding of the items, events and transactions of the platform's store.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};

use super::list;
use crate::{
    id::Revision,
    store::{Change, Compare, Event, Item, Lease, Path, Txn, Write},
};

/// An item or an event, as the store lists it.
#[derive(Deserialize)]
pub(super) struct Entry {
    key: String,
    /// The encoded value; `None` if there is no readable one.
    #[serde(skip)]
    value: Option<String>,
    pub(super) rev: u64,
    /// Revision at which the key was created.
    #[serde(default, rename = "createRev")]
    created: u64,
    #[serde(default)]
    pub(super) removed: bool,
}

/// What a response with a list says besides the list. All other fields are ignored unread.
#[derive(Deserialize)]
struct Head {
    #[serde(default)]
    truncated: bool,
    #[serde(rename = "asOf")]
    revision: u64,
}

/// Key of an item of which nothing else may be readable.
#[derive(Deserialize)]
struct Key {
    key: String,
}

/// Value of an item, which is decoded apart from its key and revision.
#[derive(Deserialize)]
struct EncodedValue {
    value: String,
}

/// A page of a range read. Items that cannot be read are left out.
pub(super) struct Page {
    pub(super) items: Vec<Entry>,
    pub(super) truncated: bool,
    pub(super) revision: u64,
    /// Key after which the next page begins.
    pub(super) last_key: Option<String>,
}

impl Page {
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let text = String::from_utf8_lossy(body);
        let head: Head = serde_json::from_str(&text)?;
        let items = list::elements(&text, "items")?;
        let mut keys = items.iter().rev();
        let last_key = keys.find_map(|item| serde_json::from_str::<Key>(item).ok());
        Ok(Self {
            items: readable(&items),
            truncated: head.truncated,
            revision: head.revision,
            last_key: last_key.map(|item| item.key),
        })
    }
}

/// The response to a read of one key.
pub(super) struct Single {
    pub(super) entry: Option<Entry>,
    pub(super) revision: u64,
}

impl Single {
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let text = String::from_utf8_lossy(body);
        let head: Head = serde_json::from_str(&text)?;
        Ok(Self {
            entry: readable(&[&text]).pop(),
            revision: head.revision,
        })
    }
}

/// The response to a watch call. Events that cannot be read are left out.
pub(super) struct Batch {
    pub(super) events: Vec<Entry>,
    pub(super) revision: u64,
}

impl Batch {
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let text = String::from_utf8_lossy(body);
        let head: Head = serde_json::from_str(&text)?;
        let events = list::elements(&text, "events")?;
        Ok(Self {
            events: readable(&events),
            revision: head.revision,
        })
    }
}

fn readable(entries: &[&str]) -> Vec<Entry> {
    let entries = entries.iter().filter_map(|text| {
        let entry = serde_json::from_str::<Entry>(text);
        let mut entry = entry
            .inspect_err(|error| skip(&format!("item: {error}")))
            .ok()?;
        let value = serde_json::from_str::<EncodedValue>(text).ok();
        entry.value = value.map(|item| item.value);
        Some(entry)
    });
    entries.collect()
}

/// Counts an item that cannot be read. The line is for debugging only, as another writer can repeat
/// such an item without end.
fn skip(why: &str) {
    metrics::counter!("store_items_skipped_total").increment(1);
    log::debug!(why = why; "skipping unreadable item of the store");
}

#[derive(Deserialize)]
pub(super) struct Committed {
    pub(super) rev: u64,
}

/// The current state of the compared keys.
pub(super) struct PreconditionFailed {
    pub(super) items: Vec<Entry>,
}

impl PreconditionFailed {
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let text = String::from_utf8_lossy(body);
        Ok(Self {
            items: readable(&list::elements(&text, "items")?),
        })
    }
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
    path.inspect_err(|error| skip(&format!("key: {error}")))
        .ok()
}

/// Decodes a value. One that cannot be decoded is empty, so that its key does not keep the value that
/// it had before.
fn value(entry: &Entry) -> Vec<u8> {
    let text = entry.value.as_deref().unwrap_or_default();
    STANDARD.decode(text).unwrap_or_else(|error| {
        skip(&format!("value: {error}"));
        Vec::new()
    })
}

pub(super) fn item(entry: &Entry) -> Option<Item> {
    Some(Item {
        path: path(&entry.key)?,
        value: value(entry),
        created: Revision::new(entry.created),
        modified: Revision::new(entry.rev),
    })
}

pub(super) fn event(entry: &Entry) -> Option<Event> {
    let change = if entry.removed {
        Change::Delete
    } else {
        Change::Put(value(entry))
    };
    Some(Event {
        path: path(&entry.key)?,
        change,
        revision: Revision::new(entry.rev),
    })
}
