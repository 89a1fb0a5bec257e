use std::{
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_web::{
    http::{StatusCode, header::HeaderMap},
    web::Bytes,
};
use awc::error::{ConnectError, SendRequestError};
use futures_util::{
    FutureExt, StreamExt,
    stream::{self},
};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::{sync::watch, time};

use super::{
    Result,
    connections::Connections,
    names,
    record::{
        Batch, Committed, Granted, Page, PreconditionFailed, Single, event, item, key, transaction,
    },
};
use crate::{
    clock::Shared,
    error::{Error, Executed, Kind},
    id::Revision,
    store::{
        self, Commit, Era, Events, Future, Item, Lease, Path, Position, Range, Reader, Txn, Write,
    },
    unit::{self, as_f64},
};

/// Time in which the store has to be followed again after the open connections went silent.
const RECOVERY_DEFAULT: Duration = Duration::from_secs(3);
/// Part of the recovery for the pause after a failed call, a new connection and a read.
const REREAD_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the timeout of one call. A slow store responds within 200 ms.
const CALL_TIMEOUT_MAX: Duration = Duration::from_millis(1_500);
/// Lower bound of that timeout, for a short recovery.
const CALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Upper bound of the time between two answers to the watch calls of a follower. It is short enough
/// to detect an unresponsive store before the entries of live endpoints expire.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(2);
/// Shortest time that the store is asked to hold a watch call without events.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(500);
/// Time beyond the wait of a watch call after which the call has failed.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Most that is read of the entries below a prefix. Hundreds of endpoints take a few hundred kilobytes.
const RANGE_MAX: unit::Bytes = unit::Bytes::new(16 << 20);
/// What an entry takes besides its key and value, in bytes.
const ITEM_OVERHEAD: usize = 128;
/// Largest response, in bytes. A page of a range read has at most about 1 MB before base64.
const RESPONSE_MAX: usize = 4 << 20;

/// Client of the platform's store. Clones share its connections.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    connections: Connections,
    clock: Shared,
    call_timeout: Duration,
    watch_wait: Duration,
    /// Era of the last answer that stated one.
    era: Rc<watch::Sender<Option<Era>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("address", &self.address)
            .field("call_timeout", &self.call_timeout)
            .field("watch_wait", &self.watch_wait)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Creates a client of the store at an address. `clock` measures the duration of calls.
    /// Connections are opened on demand.
    #[must_use]
    pub fn new(address: SocketAddr, clock: Shared) -> Self {
        let store = Self {
            address,
            connections: Connections::new(),
            clock,
            call_timeout: CALL_TIMEOUT_MAX,
            watch_wait: WATCH_WAIT_MAX,
            era: Rc::default(),
        };
        store.with_recovery(RECOVERY_DEFAULT)
    }

    /// Sets the time in which changes in the store are seen again after all open connections have gone
    /// silent, if new ones work; 3 s by default. The timeouts of calls follow from it.
    #[must_use]
    pub fn with_recovery(mut self, recovery: Duration) -> Self {
        let failed_after = recovery.saturating_sub(REREAD_TIME);
        self.call_timeout = failed_after.clamp(CALL_TIMEOUT_MIN, CALL_TIMEOUT_MAX);
        let wait = failed_after.saturating_sub(WATCH_TIMEOUT_MARGIN);
        self.watch_wait = wait.clamp(WATCH_WAIT_MIN, WATCH_WAIT_MAX);
        self
    }

    /// Sets the time between two answers to watch calls without events; the default follows from the
    /// recovery. A longer time costs fewer calls, but delays the detection of an unresponsive store
    /// as much.
    #[must_use]
    pub const fn with_watch_wait(mut self, wait: Duration) -> Self {
        self.watch_wait = wait;
        self
    }

    /// Reads JSON from the store, and its era. Only status 200 is a success. If the call continues a
    /// read, `expected` is the era of that read.
    async fn call<T>(
        &self,
        path: &'static str,
        query: &[(&str, &str)],
        limit: Duration,
        expected: Option<Era>,
        decode: impl FnOnce(&[u8]) -> serde_json::Result<T>,
    ) -> Result<(T, Era)> {
        let client = self.connections.client();
        let request = client.get(format!("http://{}{path}", self.address));
        let request = request
            .query(&query)
            .map_err(|error| unavailable("the query cannot be written").with_source(error))?;
        let answer = self
            .call_with_timeout(path, limit, send(request.send()))
            .await?;
        let era = answer
            .era
            .or(expected)
            .unwrap_or_else(|| self.era.borrow().unwrap_or_default());
        if expected.is_some_and(|expected| expected != era) {
            return Err(Error::new(Kind::StoreRestored, "the store was restored"));
        }
        match answer.status {
            StatusCode::OK => Ok((decode(&answer.body).map_err(malformed)?, era)),
            status => Err(status_error(status)),
        }
    }

    /// Posts JSON to `path`. `route` labels the metric and has no variable parts.
    async fn write(&self, route: &'static str, path: &str, body: &Value) -> Result<Answer> {
        let client = self.connections.client();
        let request = client.post(format!("http://{}{path}", self.address));
        let call = send(request.send_json(body));
        self.call_with_timeout(route, self.call_timeout, call).await
    }

    /// Awaits a call up to a timeout and records its duration. A call without a response may still
    /// take effect later.
    async fn call_with_timeout(
        &self,
        route: &'static str,
        limit: Duration,
        call: impl std::future::Future<Output = Result<Answer>>,
    ) -> Result<Answer> {
        let start = self.clock.now();
        let outcome = time::timeout(limit, call).await;
        let elapsed = self.clock.now() - start;
        metrics::histogram!("store_call_seconds", "route" => route).record(elapsed.as_secs_f64());
        let answer = outcome.unwrap_or_else(|_elapsed| {
            log::info!(route = route, waited_ms = elapsed.as_millis();
                "store did not answer; further calls open new connections");
            self.connections.replace();
            Err(unavailable("no answer in time").with_executed(Executed::Unknown))
        })?;
        if let Some(era) = answer.era {
            self.record_era(era, route);
        }
        Ok(answer)
    }

    /// Whether the store has changed to another era since the lease was granted. Its number may belong
    /// to a lease of another process then.
    fn has_lost(&self, lease: Lease) -> bool {
        let era = *self.era.borrow();
        era.is_some_and(|era| era != lease.era())
    }

    fn record_era(&self, era: Era, route: &'static str) {
        let before = *self.era.borrow();
        if before == Some(era) {
            return;
        }
        self.era.send_replace(Some(era));
        metrics::gauge!("store_era").set(as_f64(era.get()));
        let Some(before) = before else {
            return;
        };
        metrics::counter!("store_era_changes_total").increment(1);
        if era > before {
            log::warn!(era:% = era, before:% = before, route = route;
                "store was restored from an older copy");
        } else {
            log::warn!(era:% = era, before:% = before, route = route;
                "store states an earlier era: the answer was delayed or comes from another store");
        }
    }

    /// Waits for events after a revision, or for the end of the wait, which counts from the last answer.
    async fn next_batch(
        &self,
        prefix: &Path,
        after: u64,
        era: Option<Era>,
        answered_at: Instant,
    ) -> Result<(Batch, Era)> {
        loop {
            let mut replaced = self.connections.subscribe();
            let elapsed = self.clock.now() - answered_at;
            let wait = self.watch_wait.saturating_sub(elapsed).max(WATCH_WAIT_MIN);
            let (after, wait_text) = (after.to_string(), wait.as_millis().to_string());
            let query = [
                ("prefix", key(prefix)),
                ("after", after.as_str()),
                ("waitMs", wait_text.as_str()),
            ];
            let limit = wait + WATCH_TIMEOUT_MARGIN;
            let call = self.call(names::STORE_WATCH, &query, limit, era, Batch::parse);
            tokio::select! {
                biased;
                answer = call => return answer,
                // Another call got no answer, so the connection of this one may be silent, too.
                Ok(()) = replaced.changed() => {}
            }
        }
    }

    /// Reads all pages of the entries below a prefix.
    async fn read_pages(&self, prefix: &Path) -> Result<Range> {
        let mut range = Range::default();
        let mut after = String::new();
        let mut era = None;
        let mut size = 0;
        loop {
            let query = [("prefix", key(prefix)), ("after", after.as_str())];
            let query = if after.is_empty() {
                &query[..1]
            } else {
                &query
            };
            let (page, page_era) = self
                .call(
                    names::STORE_RANGE,
                    query,
                    self.call_timeout,
                    era,
                    Page::parse,
                )
                .await?;
            era = Some(page_era);
            range.era = page_era;
            // Later pages can have newer revisions. Starting the watch after the revision of the
            // first page repeats some changes but misses none.
            if range.revision == Revision::default() {
                range.revision = Revision::new(page.revision);
            }
            range
                .items
                .extend(page.items.iter().filter_map(item).inspect(|item| {
                    size += ITEM_OVERHEAD + item.path.as_str().len() + item.value.len();
                }));
            if size as u64 > RANGE_MAX.get() {
                return Err(unavailable(
                    "the entries below the prefix take too much memory",
                ));
            }
            if !page.truncated {
                return Ok(range);
            }
            // A page without a key to continue after would be read again and again.
            let next = page.last_key.filter(|last| *last > after);
            after = next.ok_or_else(|| unavailable("a truncated page does not advance"))?;
        }
    }
}

impl Reader for Store {
    fn get(&self, path: Path) -> Future<'_, Range> {
        async move {
            let query = [("key", key(&path))];
            let (single, era) = self
                .call(
                    names::STORE_KEY,
                    &query,
                    self.call_timeout,
                    None,
                    Single::parse,
                )
                .await?;
            Ok(Range {
                items: single.entry.iter().filter_map(item).collect(),
                revision: Revision::new(single.revision),
                era,
            })
        }
        .boxed_local()
    }

    fn range(&self, prefix: Path) -> Future<'_, Range> {
        async move { self.read_pages(&prefix).await }.boxed_local()
    }

    fn watch(&self, prefix: Path, from: Position) -> Future<'_, Events> {
        let after = from.revision.get().saturating_sub(1);
        let start = (self.clone(), after, from.era, self.clock.now());
        let events = stream::unfold(Some(start), move |state| {
            let prefix = prefix.clone();
            async move {
                let (store, after, era, answered_at) = state?;
                match store.next_batch(&prefix, after, era, answered_at).await {
                    Ok((batch, era)) => {
                        let next = batch.revision.max(after);
                        let events = batch.events.iter().filter_map(event).collect();
                        let now = store.clock.now();
                        Some((Ok(events), Some((store, next, Some(era), now))))
                    }
                    Err(error) => Some((Err(error), None)),
                }
            }
        });
        async move { Ok(events.boxed_local()) }.boxed_local()
    }
}

impl store::Store for Store {
    fn commit(&self, txn: Txn) -> Future<'_, Commit> {
        async move {
            txn.check()?;
            let lost = txn.writes.iter().any(|write| match write {
                Write::Put(_, _, Some(lease)) => self.has_lost(*lease),
                _ => false,
            });
            if lost {
                return Err(unavailable("the lease was lost in a restore of the store"));
            }
            let Answer { status, body, .. } = self
                .write(names::STORE_TXN, names::STORE_TXN, &transaction(&txn))
                .await?;
            match status {
                StatusCode::OK => Ok(Commit {
                    succeeded: true,
                    revision: Revision::new(parse::<Committed>(&body)?.rev),
                    found: Vec::new(),
                }),
                StatusCode::PRECONDITION_FAILED => {
                    let failed = PreconditionFailed::parse(&body).map_err(malformed)?;
                    // The store lists a missing key with revision 0.
                    let found: Vec<Item> = failed
                        .items
                        .iter()
                        .filter(|entry| entry.rev > 0 && !entry.removed)
                        .filter_map(item)
                        .collect();
                    let revisions = found.iter().map(|item| item.modified);
                    Ok(Commit {
                        succeeded: false,
                        revision: revisions.max().unwrap_or_default(),
                        found,
                    })
                }
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn grant(&self, period: Duration) -> Future<'_, Lease> {
        async move {
            let body = json!({ "ttlMs": u64::try_from(period.as_millis()).unwrap_or(u64::MAX) });
            let answer = self
                .write(names::LEASE_GRANT, names::LEASE_GRANT, &body)
                .await?;
            match answer.status {
                StatusCode::OK => {
                    let era = answer.era.or_else(|| *self.era.borrow());
                    let lease = Lease::new(parse::<Granted>(&answer.body)?.lease);
                    Ok(lease.with_era(era.unwrap_or_default()))
                }
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn era(&self) -> watch::Receiver<Option<Era>> {
        self.era.subscribe()
    }

    fn renew(&self, lease: Lease) -> Future<'_, bool> {
        async move {
            if self.has_lost(lease) {
                return Ok(false);
            }
            let path = format!("{}/{lease}", names::LEASE_RENEW);
            let answer = self.write(names::LEASE_RENEW, &path, &json!({})).await?;
            match answer.status {
                // The answer can be the first of another era.
                StatusCode::OK => Ok(!self.has_lost(lease)),
                StatusCode::NOT_FOUND => Ok(false),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn revoke(&self, lease: Lease) -> Future<'_, ()> {
        async move {
            if self.has_lost(lease) {
                return Ok(());
            }
            let url = format!("http://{}{}/{lease}", self.address, names::LEASE_REVOKE);
            let call = send(self.connections.client().delete(url).send());
            let answer = self
                .call_with_timeout(names::LEASE_REVOKE, self.call_timeout, call)
                .await?;
            match answer.status {
                // A missing lease has already ended, for example by a call whose response was lost.
                StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }
}

/// An answer of the store.
struct Answer {
    status: StatusCode,
    /// Era of the store, if the answer states one.
    era: Option<Era>,
    body: Bytes,
}

async fn send(call: awc::SendClientRequest) -> Result<Answer> {
    let mut response = call.await.map_err(|error| {
        let executed = match &error {
            SendRequestError::Connect(ConnectError::Disconnected) => Executed::Unknown,
            SendRequestError::Connect(_) => Executed::No,
            _ => Executed::Unknown,
        };
        unavailable("the call failed")
            .with_source(error.to_string())
            .with_executed(executed)
    })?;
    let body = response.body().limit(RESPONSE_MAX).await;
    let body = body.map_err(|error| {
        unavailable("broken answer")
            .with_source(error.to_string())
            .with_executed(Executed::Unknown)
    })?;
    Ok(Answer {
        status: response.status(),
        era: decode_era(response.headers()),
        body,
    })
}

fn decode_era(headers: &HeaderMap) -> Option<Era> {
    let text = headers.get(names::STORE_ERA)?.to_str().unwrap_or_default();
    text.parse()
        .inspect_err(
            |error| log::warn!(era = text, error:% = error; "ignoring the era of the store"),
        )
        .ok()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> Error {
    unavailable("malformed answer")
        .with_source(error)
        .with_executed(Executed::Unknown)
}

/// Error for a response of the store that reports that nothing was executed.
fn status_error(status: StatusCode) -> Error {
    unavailable(&format!("the store answered {status}"))
}

fn unavailable(detail: &str) -> Error {
    Error::new(Kind::StoreUnavailable, detail).with_executed(Executed::No)
}
