//! Decoding of requests and encoding of responses of the etcd JSON gateway.

use std::{fmt, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use mulberrymill::{
    id::Revision,
    store::{Change, Commit, Compare, Event, Item, Lease, Path, Txn, Write},
};
use serde_json::{Value, json};

/// A request that is rejected with status 400, with the reason.
#[derive(Debug)]
pub(super) struct Malformed(&'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

type Result<T> = std::result::Result<T, Malformed>;

pub(super) fn parse(body: &[u8]) -> Result<Value> {
    serde_json::from_slice(body).map_err(|_error| Malformed("malformed JSON"))
}

fn bytes(value: &Value) -> Result<Vec<u8>> {
    let text = value.as_str().unwrap_or_default();
    STANDARD
        .decode(text)
        .map_err(|_error| Malformed("malformed base64"))
}

fn number(value: &Value) -> Result<i64> {
    match value {
        Value::Null => Ok(0),
        Value::String(text) => text.parse().map_err(|_error| Malformed("malformed number")),
        _ => value.as_i64().ok_or(Malformed("malformed number")),
    }
}

fn revision(value: &Value) -> Result<Revision> {
    let number = u64::try_from(number(value)?);
    number
        .map(Revision::new)
        .map_err(|_error| Malformed("negative revision"))
}

fn path(bytes: &[u8]) -> Result<Path> {
    let text = str::from_utf8(bytes).map_err(|_error| Malformed("unsupported key"))?;
    text.parse().map_err(|_error| Malformed("unsupported key"))
}

fn key(request: &Value) -> Result<Path> {
    path(&bytes(&request["key"])?)
}

/// Key of a request, and whether the request covers all keys with that prefix.
pub(super) fn key_or_prefix(request: &Value) -> Result<(Path, bool)> {
    let start = bytes(&request["key"])?;
    let end = bytes(&request["range_end"])?;
    if end.is_empty() {
        return Ok((path(&start)?, false));
    }
    let mut prefix_end = start.clone();
    if let Some(last) = prefix_end.last_mut() {
        *last = last.wrapping_add(1);
    }
    if end != prefix_end {
        return Err(Malformed("only ranges of a prefix are supported"));
    }
    Ok((path(&start)?, true))
}

fn list<'a>(request: &'a Value, name: &str) -> Result<&'a [Value]> {
    match &request[name] {
        Value::Null => Ok(&[]),
        Value::Array(list) => Ok(list),
        _ => Err(Malformed("a list was expected")),
    }
}

/// Decodes a transaction, and the keys to read if its comparisons fail.
pub(super) fn txn(request: &Value) -> Result<(Txn, Vec<Path>)> {
    let compares = list(request, "compare")?.iter().map(compare);
    let writes = list(request, "success")?.iter().map(write);
    let reads = list(request, "failure")?
        .iter()
        .map(|read| key(&read["request_range"]));
    let txn = Txn {
        compares: compares.collect::<Result<_>>()?,
        writes: writes.collect::<Result<_>>()?,
    };
    Ok((txn, reads.collect::<Result<_>>()?))
}

fn compare(request: &Value) -> Result<Compare> {
    if !matches!(request["result"].as_str(), None | Some("EQUAL")) {
        return Err(Malformed("only EQUAL is supported"));
    }
    let path = key(request)?;
    match request["target"].as_str() {
        Some("MOD") => Ok(Compare::Modified(path, revision(&request["mod_revision"])?)),
        Some("CREATE") => match revision(&request["create_revision"])? {
            created if created == Revision::default() => Ok(Compare::Absent(path)),
            created => Ok(Compare::Created(path, created)),
        },
        _ => Err(Malformed("only MOD and CREATE are supported")),
    }
}

fn write(request: &Value) -> Result<Write> {
    if let Some(put) = request.get("request_put") {
        let lease = match number(&put["lease"])? {
            0 => None,
            lease => Some(Lease::new(lease)),
        };
        return Ok(Write::Put(key(put)?, bytes(&put["value"])?, lease));
    }
    match request.get("request_delete_range") {
        Some(delete) if delete.get("range_end").is_none() => Ok(Write::Delete(key(delete)?)),
        _ => Err(Malformed("unsupported operation")),
    }
}

pub(super) fn period(request: &Value) -> Result<Duration> {
    match number(&request["TTL"])? {
        seconds @ 1..=9_000_000_000 => Ok(Duration::from_secs(seconds.unsigned_abs())),
        _ => Err(Malformed("the TTL is out of range")),
    }
}

pub(super) fn lease(request: &Value) -> Result<Lease> {
    number(&request["ID"]).map(Lease::new)
}

pub(super) fn watch(request: &Value) -> Result<(Path, Revision)> {
    let create = &request["create_request"];
    match key_or_prefix(create)? {
        (path, true) => Ok((path, revision(&create["start_revision"])?)),
        _ => Err(Malformed("only watches of a prefix are supported")),
    }
}

pub(super) fn header(revision: Revision) -> Value {
    let revision = revision.to_string();
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision, "raft_term": "1" })
}

pub(super) fn item(item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(item.path.as_str()),
        "create_revision": item.created.to_string(),
        "mod_revision": item.modified.to_string(),
        "version": "1",
        "value": STANDARD.encode(&item.value),
    })
}

pub(super) fn commit(commit: &Commit, reads: &[Path]) -> Value {
    let header = header(commit.revision);
    if commit.succeeded {
        return json!({ "header": header, "succeeded": true });
    }
    let parts = reads.iter().map(|path| {
        let found = commit.found.iter().filter(|found| found.path == *path);
        json!({ "response_range": { "kvs": found.map(item).collect::<Vec<_>>() } })
    });
    json!({ "header": header, "responses": parts.collect::<Vec<_>>() })
}

pub(super) fn created(revision: Revision) -> Value {
    json!({ "result": { "header": header(revision), "created": true } })
}

pub(super) fn events(events: &[Event]) -> Value {
    let revision = events.last().map(|event| event.revision);
    json!({ "result": {
        "header": header(revision.unwrap_or_default()),
        "events": events.iter().map(event).collect::<Vec<_>>(),
    } })
}

fn event(event: &Event) -> Value {
    let mut kv = json!({
        "key": STANDARD.encode(event.path.as_str()),
        "mod_revision": event.revision.to_string(),
    });
    match &event.change {
        Change::Put(value) => {
            kv["value"] = Value::String(STANDARD.encode(value));
            json!({ "kv": kv })
        }
        Change::Delete => json!({ "type": "DELETE", "kv": kv }),
    }
}
