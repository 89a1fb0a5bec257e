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
    CALL_TIMEOUT, Commit, Event, Events, Future, Lease, Path, Position, Range, Reader, Result,
    Store, Txn,
    gateway::{self, RESPONSE_MAX_BYTES, unknown_outcome},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
};

/// Whether a call whose outcome is unknown may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    Safe,
    Unsafe,
}

struct Response {
    status: StatusCode,
    body: Bytes,
}

/// Client of the etcd v3 JSON gateway. Calls go to the preferred address; when one fails, the next
/// address becomes the preferred one and the call is sent to it. A write is sent to another address
/// only if it certainly did not reach the first one.
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
    /// Creates a client for the given addresses. `clock` measures the duration of calls. Connects
    /// when the first call is sent.
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
            // Calls have a timeout of their own, and a watch has none.
            client: Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
            clock,
        })
    }

    async fn call(&self, route: &str, body: Value, retry: Retry) -> Result<Response> {
        let start = self.clock.now();
        let result =
            time::timeout(CALL_TIMEOUT, self.call_with_failover(route, &body, retry)).await;
        let elapsed = self.clock.now() - start;
        metrics::histogram!("store_call_seconds", "route" => route.to_owned())
            .record(elapsed.as_secs_f64());
        result.unwrap_or_else(|_elapsed| {
            self.prefer_next();
            Err(unknown_outcome("the store did not answer in time"))
        })
    }

    async fn call_with_failover(
        &self,
        route: &str,
        body: &Value,
        retry: Retry,
    ) -> Result<Response> {
        let mut result = Err(unknown_outcome("the store has no address"));
        for _ in &self.addresses {
            result = self.call_preferred(route, body).await;
            match &result {
                Ok(_) => return result,
                Err(error) => {
                    self.prefer_next();
                    if retry == Retry::Unsafe && error.executed() != Executed::No {
                        return result;
                    }
                }
            }
        }
        result
    }

    async fn call_preferred(&self, route: &str, body: &Value) -> Result<Response> {
        let mut response = self.send(route, body).await?;
        let status = response.status();
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        let body =
            body.map_err(|error| unknown_outcome("broken answer").with_source(error.to_string()))?;
        Ok(Response { status, body })
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

    async fn open_watch(&self, prefix: Path, from: Position) -> Result<Events> {
        let request = gateway::watch_request(&prefix, from.revision);
        let mut result = Err(unknown_outcome("the store has no address"));
        for _ in &self.addresses {
            result = self.send("/v3/watch", &request).await;
            if result.is_ok() {
                break;
            }
            self.prefer_next();
        }
        let response = result?;
        if !response.status().is_success() {
            return Err(status_error(response.status()));
        }
        let chunks = response.map(|chunk| {
            chunk.map_err(|error| unknown_outcome("the watch broke").with_source(error.to_string()))
        });
        let mut messages = WatchMessages::new(chunks);
        let first = messages.next().await?;
        if !first.created {
            return Err(unknown_outcome("the watch was not created"));
        }
        let initial = (!first.events.is_empty()).then_some(Ok(first.events));
        Ok(stream::iter(initial).chain(messages.events()).boxed_local())
    }
}

impl Reader for Etcd {
    fn get(&self, path: Path) -> Future<'_, Range> {
        let request = gateway::get_request(&path);
        async move {
            let response = self.call("/v3/kv/range", request, Retry::Safe).await?;
            gateway::parse_range_response(&success_body(response)?)
        }
        .boxed_local()
    }

    fn range(&self, prefix: Path) -> Future<'_, Range> {
        let request = gateway::range_request(&prefix);
        async move {
            let response = self.call("/v3/kv/range", request, Retry::Safe).await?;
            gateway::parse_range_response(&success_body(response)?)
        }
        .boxed_local()
    }

    fn watch(&self, prefix: Path, from: Position) -> Future<'_, Events> {
        async move {
            time::timeout(CALL_TIMEOUT, self.open_watch(prefix, from))
                .await
                .unwrap_or_else(|_elapsed| {
                    self.prefer_next();
                    Err(unknown_outcome("the store did not answer in time"))
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
            let response = self.call("/v3/kv/txn", request, Retry::Unsafe).await?;
            gateway::parse_txn_response(&success_body(response)?)
        }
        .boxed_local()
    }

    fn grant(&self, period: Duration) -> Future<'_, Lease> {
        // The TTL has whole seconds. Rounding up is safe, because the holder counts the period
        // itself.
        let seconds = period.as_millis().div_ceil(1000).max(1);
        let request = json!({ "TTL": seconds.to_string() });
        async move {
            let response = self.call("/v3/lease/grant", request, Retry::Unsafe).await?;
            gateway::parse_grant_response(&success_body(response)?)
        }
        .boxed_local()
    }

    fn renew(&self, lease: Lease) -> Future<'_, bool> {
        let request = json!({ "ID": lease.to_string() });
        async move {
            let response = self
                .call("/v3/lease/keepalive", request, Retry::Safe)
                .await?;
            gateway::parse_keepalive_response(&success_body(response)?)
        }
        .boxed_local()
    }

    fn revoke(&self, lease: Lease) -> Future<'_, ()> {
        let request = json!({ "ID": lease.to_string() });
        async move {
            let response = self.call("/v3/lease/revoke", request, Retry::Safe).await?;
            // The lease has already ended, for example by a first call whose response was lost.
            if response.status == StatusCode::NOT_FOUND {
                return Ok(());
            }
            success_body(response).map(drop)
        }
        .boxed_local()
    }
}

/// Splits the response body of a watch into messages, one per line.
struct WatchMessages<S> {
    chunks: S,
    buffer: BytesMut,
    /// Number of bytes of the buffer that are known to contain no line feed.
    searched: usize,
}

impl<S: Stream<Item = Result<Bytes>> + Unpin + 'static> WatchMessages<S> {
    fn new(chunks: S) -> Self {
        Self {
            chunks,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    async fn next(&mut self) -> Result<gateway::WatchMessage> {
        loop {
            let rest = &self.buffer[self.searched..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.searched + end + 1);
                self.searched = 0;
                return gateway::parse_watch_message(&line);
            }
            self.searched = self.buffer.len();
            let chunk = self.chunks.next().await;
            let chunk = chunk.ok_or_else(|| unknown_outcome("the watch ended"))??;
            if self.buffer.len() + chunk.len() > RESPONSE_MAX_BYTES {
                return Err(unknown_outcome("a line of the watch is too large"));
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

    /// Returns the batches of events, up to and including the first error.
    fn events(self) -> Events {
        let batches = stream::unfold(Some(self), |messages| async move {
            let mut messages = messages?;
            match messages.next_events().await {
                Ok(events) => Some((Ok(events), Some(messages))),
                Err(error) => Some((Err(error), None)),
            }
        });
        batches.boxed_local()
    }
}

/// Converts a send error. Only an OS error before the connection is established proves that nothing
/// was sent; `awc` also reports a connection that closed before the response as a connect error.
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
    unknown_outcome("the store did not answer").with_source(error.to_string())
}

fn success_body(response: Response) -> Result<Bytes> {
    if response.status.is_success() {
        return Ok(response.body);
    }
    Err(status_error(response.status))
}

/// Converts an error status. A client error means that the call was rejected before execution; a
/// server error may occur after it.
fn status_error(status: StatusCode) -> Error {
    let error = unknown_outcome(format!(
        "the store answered with status {}",
        status.as_u16()
    ));
    if status.is_client_error() {
        return error.with_executed(Executed::No);
    }
    error
}
