use std::{fmt, net::SocketAddr, time::Duration};

use actix_web::{http::StatusCode, web::Bytes};
use awc::Client;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use futures_util::{
    FutureExt, StreamExt,
    stream::{self},
};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time;

use super::{Result, names};
use crate::{
    clock::Shared,
    error::{Error, Executed, Kind},
    id::Revision,
    store::{Change, Event, Events, Future, Item, Path, Range, Reader},
};

/// Limit of one call. A slow store answers within a fifth of a second.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time that the store holds a watch without events. Short enough to notice a store that has gone
/// silent before the entries of live endpoints lapse.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time beyond [`WATCH_WAIT`] after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Largest answer: a page of a read has at most about 1 MB, before base64.
const ANSWER_MAX: usize = 4 << 20;

/// Client of the platform's store. Clones share its connections.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    client: Client,
    clock: Shared,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct Entry {
    key: String,
    #[serde(default)]
    value: String,
    rev: u64,
    /// Revision at which the key was created.
    #[serde(default, rename = "createRev")]
    created: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Entry>,
    #[serde(default)]
    truncated: bool,
    #[serde(rename = "asOf")]
    revision: u64,
}

#[derive(Deserialize)]
struct Single {
    #[serde(flatten)]
    entry: Entry,
    #[serde(rename = "asOf")]
    revision: u64,
}

#[derive(Deserialize)]
struct Batch {
    events: Vec<Entry>,
    #[serde(rename = "asOf")]
    revision: u64,
}

impl Store {
    /// A client of the store at an address. `clock` measures the duration of calls. Connections are
    /// made when they are needed.
    #[must_use]
    pub fn open(address: SocketAddr, clock: Shared) -> Self {
        Self {
            address,
            clock,
            // Each call has its own limit.
            client: Client::builder()
                .disable_timeout()
                .disable_redirects()
                .no_default_headers()
                .finish(),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &'static str,
        query: &[(&str, &str)],
        limit: Duration,
    ) -> Result<T> {
        let start = self.clock.now();
        let outcome = time::timeout(limit, self.fetch(path, query)).await;
        let elapsed = self.clock.now() - start;
        metrics::histogram!("store_call_seconds", "route" => path).record(elapsed.as_secs_f64());
        let body = outcome.unwrap_or_else(|_elapsed| Err(unavailable("no answer in time")))?;
        serde_json::from_slice(&body)
            .map_err(|error| unavailable("malformed answer").with_source(error))
    }

    async fn fetch(&self, path: &str, query: &[(&str, &str)]) -> Result<Bytes> {
        let failed = |error: awc::error::SendRequestError| {
            unavailable("the call failed").with_source(error.to_string())
        };
        let request = self.client.get(format!("http://{}{path}", self.address));
        let request = request
            .query(&query)
            .map_err(|error| unavailable("the query cannot be written").with_source(error))?;
        let mut response = request.send().await.map_err(failed)?;
        let body = response.body().limit(ANSWER_MAX).await;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(unavailable(&format!("the store answered {status}")));
        }
        body.map_err(|error| unavailable("broken answer").with_source(error.to_string()))
    }

    async fn read_all(&self, prefix: &Path) -> Result<Range> {
        let mut range = Range::default();
        let mut after = String::new();
        loop {
            let query = [("prefix", key(prefix)), ("after", after.as_str())];
            let query = if after.is_empty() {
                &query[..1]
            } else {
                &query
            };
            let page: Page = self.call(names::RANGE, query, CALL_LIMIT).await?;
            // Later pages are newer. Changes since the first page are read again by the watch.
            if range.revision == Revision::default() {
                range.revision = Revision::new(page.revision);
            }
            let last = page.items.last().map(|entry| entry.key.clone());
            range.items.extend(page.items.iter().filter_map(item));
            match last {
                Some(last) if page.truncated => after = last,
                _ => return Ok(range),
            }
        }
    }
}

impl Reader for Store {
    fn get(&self, path: Path) -> Future<'_, Range> {
        async move {
            let query = [("key", key(&path))];
            let single: Single = self.call(names::KEY, &query, CALL_LIMIT).await?;
            Ok(Range {
                items: item(&single.entry).into_iter().collect(),
                revision: Revision::new(single.revision),
            })
        }
        .boxed_local()
    }

    fn range(&self, prefix: Path) -> Future<'_, Range> {
        async move { self.read_all(&prefix).await }.boxed_local()
    }

    fn watch(&self, prefix: Path, from: Revision) -> Future<'_, Events> {
        let after = from.get().saturating_sub(1);
        let events = stream::unfold(Some((self.clone(), after)), move |state| {
            let prefix = prefix.clone();
            async move {
                let (store, after) = state?;
                let (since, wait) = (after.to_string(), WATCH_WAIT.as_millis().to_string());
                let query = [
                    ("prefix", key(&prefix)),
                    ("after", since.as_str()),
                    ("waitMs", wait.as_str()),
                ];
                let limit = WATCH_WAIT + WATCH_SLACK;
                match store.call::<Batch>(names::WATCH, &query, limit).await {
                    Ok(batch) => {
                        let next = batch.revision.max(after);
                        let events = batch.events.iter().filter_map(event).collect();
                        Some((Ok(events), Some((store, next))))
                    }
                    Err(error) => Some((Err(error), None)),
                }
            }
        });
        async move { Ok(events.boxed_local()) }.boxed_local()
    }
}

/// The platform's key for a path.
fn key(path: &Path) -> &str {
    path.as_str().trim_start_matches('/')
}

fn path(key: &str) -> Option<Path> {
    let path = format!("/{key}").parse();
    path.inspect_err(|_| log::warn!(key = key; "key of the store is skipped: invalid name"))
        .ok()
}

fn value(entry: &Entry) -> Option<Vec<u8>> {
    let value = STANDARD.decode(&entry.value);
    value
        .inspect_err(|error| {
            log::warn!(key = entry.key, error:% = error; "value of the store is skipped");
        })
        .ok()
}

fn item(entry: &Entry) -> Option<Item> {
    Some(Item {
        path: path(&entry.key)?,
        value: value(entry)?,
        created: Revision::new(entry.created),
        modified: Revision::new(entry.rev),
    })
}

fn event(entry: &Entry) -> Option<Event> {
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

fn unavailable(detail: &str) -> Error {
    Error::new(Kind::StoreUnavailable, detail).with_executed(Executed::No)
}
