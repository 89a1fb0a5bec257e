use std::{cell::Cell, fmt, io::ErrorKind, net::SocketAddr, time::Duration};

use actix_web::http::{StatusCode, header};
use awc::{
    Client, ClientResponse,
    error::{ConnectError, SendRequestError},
};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, Stream, StreamExt, stream};
use serde_json::{Value, json};
use tokio::time;

use super::{
    CALL_LIMIT, Commit, Event, Events, Future, Lease, Path, Range, Reader, Result, Store, Txn,
    gateway::{self, ANSWER_MAX, malformed},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::Revision,
};

/// Whether a call may be sent again after its answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    Safe,
    Unsafe,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Client of the etcd v3 JSON gateway. Calls go to the address that last answered; the others are
/// tried in turn when it does not. A write is sent to another address only if it certainly did not
/// reach the first one.
pub struct Etcd {
    addresses: Vec<SocketAddr>,
    preferred: Cell<usize>,
    client: Client,
    clock: clock::Shared,
}

impl fmt::Debug for Etcd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Etcd")
            .field("addresses", &self.addresses)
            .field("preferred", &self.preferred)
            .finish_non_exhaustive()
    }
}

impl Etcd {
    /// A client for the given addresses. `clock` measures the duration of calls. Connections are
    /// made when they are needed.
    ///
    /// # Errors
    ///
    /// `Kind::BadRequest` if there is no address.
    pub fn open(addresses: Vec<SocketAddr>, clock: clock::Shared) -> Result<Self> {
        if addresses.is_empty() {
            return Err(Error::new(Kind::BadRequest, "the store has no address"));
        }
        Ok(Self {
            addresses,
            preferred: Cell::new(0),
            // Each call has its own limit, and a watch has none.
            client: Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
            clock,
        })
    }

    async fn call(&self, route: &str, body: Value, repeat: Repeat) -> Result<Answer> {
        let start = self.clock.now();
        let result = time::timeout(CALL_LIMIT, self.call_in_turn(route, &body, repeat)).await;
        let elapsed = self.clock.now() - start;
        metrics::histogram!("store_call_seconds", "route" => route.to_owned())
            .record(elapsed.as_secs_f64());
        result.unwrap_or_else(|_elapsed| {
            self.prefer_next();
            Err(malformed("the store did not answer in time"))
        })
    }

    async fn call_in_turn(&self, route: &str, body: &Value, repeat: Repeat) -> Result<Answer> {
        let mut result = Err(malformed("the store has no address"));
        for _ in &self.addresses {
            result = self.call_one(route, body).await;
            match &result {
                Ok(_) => return result,
                Err(error) => {
                    self.prefer_next();
                    if repeat == Repeat::Unsafe && error.executed() != Executed::No {
                        return result;
                    }
                }
            }
        }
        result
    }

    async fn call_one(&self, route: &str, body: &Value) -> Result<Answer> {
        let mut response = self.send(route, body).await?;
        let status = response.status();
        let body = response.body().limit(ANSWER_MAX).await;
        let body =
            body.map_err(|error| malformed("broken answer").with_source(error.to_string()))?;
        Ok(Answer { status, body })
    }

    async fn send(&self, route: &str, body: &Value) -> Result<ClientResponse> {
        let address = self.addresses[self.preferred.get()];
        let request = self.client.post(format!("http://{address}{route}"));
        request
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .send_body(body.to_string())
            .await
            .map_err(|error| send_error(&error))
    }

    fn prefer_next(&self) {
        self.preferred
            .set((self.preferred.get() + 1) % self.addresses.len());
    }

    async fn open_watch(&self, prefix: Path, from: Revision) -> Result<Events> {
        let request = gateway::watch_request(&prefix, from);
        let mut result = Err(malformed("the store has no address"));
        for _ in &self.addresses {
            result = self.send("/v3/watch", &request).await;
            if result.is_ok() {
                break;
            }
            self.prefer_next();
        }
        let response = result?;
        if !response.status().is_success() {
            return Err(rejected(response.status()));
        }
        let chunks = response.map(|chunk| {
            chunk.map_err(|error| malformed("the watch broke").with_source(error.to_string()))
        });
        let mut lines = Lines::new(chunks);
        let first = lines.next().await?;
        if !first.created {
            return Err(malformed("the watch was not created"));
        }
        let early = (!first.events.is_empty()).then_some(Ok(first.events));
        Ok(stream::iter(early).chain(lines.events()).boxed_local())
    }
}

impl Reader for Etcd {
    fn get(&self, path: Path) -> Future<'_, Range> {
        let request = gateway::get_request(&path);
        async move {
            let answer = self.call("/v3/kv/range", request, Repeat::Safe).await?;
            gateway::range_answer(&accepted(answer)?)
        }
        .boxed_local()
    }

    fn range(&self, prefix: Path) -> Future<'_, Range> {
        let request = gateway::range_request(&prefix);
        async move {
            let answer = self.call("/v3/kv/range", request, Repeat::Safe).await?;
            gateway::range_answer(&accepted(answer)?)
        }
        .boxed_local()
    }

    fn watch(&self, prefix: Path, from: Revision) -> Future<'_, Events> {
        async move {
            time::timeout(CALL_LIMIT, self.open_watch(prefix, from))
                .await
                .unwrap_or_else(|_elapsed| {
                    self.prefer_next();
                    Err(malformed("the store did not answer in time"))
                })
        }
        .boxed_local()
    }
}

impl Store for Etcd {
    fn commit(&self, txn: Txn) -> Future<'_, Commit> {
        async move {
            txn.check()?;
            let request = gateway::txn_request(&txn);
            let answer = self.call("/v3/kv/txn", request, Repeat::Unsafe).await?;
            gateway::txn_answer(&accepted(answer)?)
        }
        .boxed_local()
    }

    fn grant(&self, period: Duration) -> Future<'_, Lease> {
        // The gateway counts whole seconds; a longer lease is safe, because the holder counts on
        // its own.
        let seconds = period.as_millis().div_ceil(1000).max(1);
        let request = json!({ "TTL": seconds.to_string() });
        async move {
            let answer = self
                .call("/v3/lease/grant", request, Repeat::Unsafe)
                .await?;
            gateway::grant_answer(&accepted(answer)?)
        }
        .boxed_local()
    }

    fn renew(&self, lease: Lease) -> Future<'_, bool> {
        let request = json!({ "ID": lease.to_string() });
        async move {
            let answer = self
                .call("/v3/lease/keepalive", request, Repeat::Safe)
                .await?;
            gateway::keepalive_answer(&accepted(answer)?)
        }
        .boxed_local()
    }

    fn revoke(&self, lease: Lease) -> Future<'_, ()> {
        let request = json!({ "ID": lease.to_string() });
        async move {
            let answer = self.call("/v3/lease/revoke", request, Repeat::Safe).await?;
            // The lease has ended already, for example through a first call whose answer was lost.
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(());
            }
            accepted(answer).map(drop)
        }
        .boxed_local()
    }
}

/// Splits the body of a watch into lines.
struct Lines<S> {
    chunks: S,
    buffer: BytesMut,
    /// Start of the part of the buffer that has not been searched for the end of a line.
    searched: usize,
}

impl<S: Stream<Item = Result<Bytes>> + Unpin + 'static> Lines<S> {
    fn new(chunks: S) -> Self {
        Self {
            chunks,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    async fn next(&mut self) -> Result<gateway::Line> {
        loop {
            let rest = &self.buffer[self.searched..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.searched + end + 1);
                self.searched = 0;
                return gateway::watch_line(&line);
            }
            self.searched = self.buffer.len();
            let chunk = self.chunks.next().await;
            let chunk = chunk.ok_or_else(|| malformed("the watch ended"))??;
            if self.buffer.len() + chunk.len() > ANSWER_MAX {
                return Err(malformed("a line of the watch is too large"));
            }
            self.buffer.extend_from_slice(&chunk);
        }
    }

    async fn next_events(&mut self) -> Result<Vec<Event>> {
        loop {
            let line = self.next().await?;
            if !line.events.is_empty() {
                return Ok(line.events);
            }
        }
    }

    /// Batches of events up to and including the first error.
    fn events(self) -> Events {
        let batches = stream::unfold(Some(self), |lines| async move {
            let mut lines = lines?;
            match lines.next_events().await {
                Ok(events) => Some((Ok(events), Some(lines))),
                Err(error) => Some((Err(error), None)),
            }
        });
        batches.boxed_local()
    }
}

/// Only an error that the kernel gives before a connection exists proves that nothing was sent.
/// `awc` also reports a connection that closed before the answer as a connect error.
fn send_error(error: &SendRequestError) -> Error {
    let refused = match error {
        SendRequestError::Connect(ConnectError::Io(error)) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        _ => false,
    };
    if refused {
        let refused = Error::new(Kind::StoreUnavailable, "the store refused the connection");
        return refused
            .with_executed(Executed::No)
            .with_source(error.to_string());
    }
    malformed("the store did not answer").with_source(error.to_string())
}

fn accepted(answer: Answer) -> Result<Bytes> {
    if answer.status.is_success() {
        return Ok(answer.body);
    }
    Err(rejected(answer.status))
}

/// A client error is a refusal before execution; a server error may come after it.
fn rejected(status: StatusCode) -> Error {
    let error = malformed(format!(
        "the store answered with status {}",
        status.as_u16()
    ));
    if status.is_client_error() {
        return error.with_executed(Executed::No);
    }
    error
}
