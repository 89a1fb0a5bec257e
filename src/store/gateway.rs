//! Requests and responses of the etcd v3 JSON gateway. Keys and values are encoded in base64,
//! 64-bit integers as strings, and fields with default values are omitted.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

use super::{Change, Commit, Compare, Era, Event, Item, Lease, Path, Range, Result, Txn, Write};
use crate::{
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Maximum size of a response, and of a line of a watch response.
pub(super) const RESPONSE_MAX_BYTES: usize = 4 << 20;

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}

/// A 64-bit integer, which the gateway encodes as a string and some proxies as a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Number {
    Text(String),
    Plain(i64),
}

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<i64, D::Error> {
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(de::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}

fn revision<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Revision, D::Error> {
    let number = number(deserializer)?;
    let number = u64::try_from(number).map_err(de::Error::custom)?;
    Ok(Revision::new(number))
}

#[derive(Deserialize)]
struct Header {
    #[serde(deserialize_with = "revision")]
    revision: Revision,
}

#[derive(Default, Deserialize)]
struct KeyValue {
    #[serde(default, deserialize_with = "decode")]
    key: Vec<u8>,
    #[serde(default, deserialize_with = "decode")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "revision")]
    create_revision: Revision,
    #[serde(default, deserialize_with = "revision")]
    mod_revision: Revision,
}

impl KeyValue {
    fn path(&self) -> Result<Path> {
        let text = str::from_utf8(&self.key).map_err(|error| unknown_outcome(error.to_string()))?;
        text.parse()
            .map_err(|error: Error| unknown_outcome(error.to_string()))
    }

    fn item(self) -> Result<Item> {
        Ok(Item {
            path: self.path()?,
            value: self.value,
            created: self.create_revision,
            modified: self.mod_revision,
        })
    }
}

#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Default, Deserialize)]
struct RangeResult {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct OperationResponse {
    #[serde(default)]
    response_range: RangeResult,
}

#[derive(Deserialize)]
struct TxnResponse {
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationResponse>,
}

#[derive(Deserialize)]
struct GrantResponse {
    #[serde(rename = "ID", deserialize_with = "number")]
    id: i64,
}

#[derive(Deserialize)]
struct StreamMessage<T> {
    result: T,
}

#[derive(Deserialize)]
struct KeepAliveResponse {
    #[serde(default, rename = "TTL", deserialize_with = "number")]
    ttl: i64,
}

#[derive(Deserialize)]
struct WatchResponse {
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    #[serde(default)]
    r#type: EventType,
    kv: KeyValue,
}

#[derive(Default, Deserialize)]
enum EventType {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

/// Exclusive end of the range of all keys that start with `prefix`. Keys are ASCII, so incrementing
/// the last byte cannot overflow.
fn prefix_end(prefix: &Path) -> Vec<u8> {
    let mut end = prefix.as_str().as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

pub(super) fn get_request(path: &Path) -> Value {
    json!({ "key": encode(path.as_str()) })
}

pub(super) fn range_request(prefix: &Path) -> Value {
    json!({ "key": encode(prefix.as_str()), "range_end": encode(prefix_end(prefix)) })
}

pub(super) fn txn_request(txn: &Txn) -> Value {
    let mut paths: Vec<&Path> = txn.compares.iter().map(Compare::path).collect();
    paths.sort();
    paths.dedup();
    let failure = paths.into_iter().map(get_request);
    json!({
        "compare": txn.compares.iter().map(compare_request).collect::<Vec<_>>(),
        "success": txn.writes.iter().map(write_request).collect::<Vec<_>>(),
        "failure": failure.map(|get| json!({ "request_range": get })).collect::<Vec<_>>(),
    })
}

fn compare_request(compare: &Compare) -> Value {
    let (target, field, revision) = match compare {
        Compare::Absent(_) => ("CREATE", "create_revision", Revision::default()),
        Compare::Created(_, revision) => ("CREATE", "create_revision", *revision),
        Compare::Modified(_, revision) => ("MOD", "mod_revision", *revision),
    };
    json!({
        "key": encode(compare.path().as_str()),
        "target": target,
        "result": "EQUAL",
        field: revision.to_string(),
    })
}

fn write_request(write: &Write) -> Value {
    match write {
        Write::Put(path, value, lease) => json!({ "request_put": {
            "key": encode(path.as_str()),
            "value": encode(value),
            "lease": lease.map_or(0, Lease::get).to_string(),
        } }),
        Write::Delete(path) => json!({ "request_delete_range": get_request(path) }),
    }
}

pub(super) fn watch_request(prefix: &Path, from: Revision) -> Value {
    let mut create = range_request(prefix);
    create["start_revision"] = Value::String(from.to_string());
    json!({ "create_request": create })
}

pub(super) fn parse_range_response(body: &[u8]) -> Result<Range> {
    let response: RangeResponse = parse(body)?;
    Ok(Range {
        items: items(response.kvs)?,
        revision: response.header.revision,
        era: Era::default(),
    })
}

pub(super) fn parse_txn_response(body: &[u8]) -> Result<Commit> {
    let response: TxnResponse = parse(body)?;
    let kvs = response.responses.into_iter();
    let found = if response.succeeded {
        Vec::new()
    } else {
        items(kvs.flat_map(|operation| operation.response_range.kvs))?
    };
    Ok(Commit {
        succeeded: response.succeeded,
        revision: response.header.revision,
        found,
    })
}

pub(super) fn parse_grant_response(body: &[u8]) -> Result<Lease> {
    parse(body).map(|response: GrantResponse| Lease::new(response.id))
}

/// Whether the lease was renewed. The gateway returns a TTL of 0 for an expired lease.
pub(super) fn parse_keepalive_response(body: &[u8]) -> Result<bool> {
    parse(body).map(|response: StreamMessage<KeepAliveResponse>| response.result.ttl > 0)
}

/// One message of a watch response, which has one message per line.
#[derive(Debug)]
pub(super) struct WatchMessage {
    pub(super) created: bool,
    pub(super) events: Vec<Event>,
}

pub(super) fn parse_watch_message(line: &[u8]) -> Result<WatchMessage> {
    let response = parse::<StreamMessage<WatchResponse>>(line)?.result;
    if response.canceled {
        return Err(unknown_outcome("the store canceled the watch"));
    }
    let events = response.events.into_iter().map(|event| {
        Ok(Event {
            path: event.kv.path()?,
            revision: event.kv.mod_revision,
            change: match event.r#type {
                EventType::Put => Change::Put(event.kv.value),
                EventType::Delete => Change::Delete,
            },
        })
    });
    Ok(WatchMessage {
        created: response.created,
        events: events.collect::<Result<_>>()?,
    })
}

fn items(kvs: impl IntoIterator<Item = KeyValue>) -> Result<Vec<Item>> {
    kvs.into_iter().map(KeyValue::item).collect()
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| unknown_outcome("malformed answer").with_source(error))
}

/// Error for a call without a usable response, which may or may not have been executed.
pub(super) fn unknown_outcome(detail: impl Into<String>) -> Error {
    Error::new(Kind::StoreUnavailable, detail).with_executed(Executed::Unknown)
}
