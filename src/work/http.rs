use std::{fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_http::{ConnectionType, RequestHead, ResponseHead};
use actix_web::http::{
    Method, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::watch, time};

use super::Result;
use crate::{
    clock::Shared,
    directory::{Budget, Started},
    error::{Error, Executed, Kind},
    notice::{Closure, Notice, Pause, Standing},
    upstream::{self, Client, Gate},
};

/// Largest accepted response of a control call, in bytes.
const CONTROL_RESPONSE_MAX: usize = 256 << 10;
/// `1` in every answer of an endpoint that is leaving.
const ENDPOINT_LEAVING: &str = "endpoint-leaving";

/// HTTP client of one endpoint. Each request has a connection of its own: on a kept one, a copy of an
/// earlier response could arrive in place of the right one, and the protocol has no id to tell them
/// apart.
#[derive(Clone, Debug)]
pub(super) struct Http {
    client: Client,
    address: SocketAddr,
    gate: Rc<EndpointGate>,
}

impl Http {
    pub(super) fn new(address: SocketAddr, clock: Shared) -> Self {
        Self {
            client: Client::without_reuse(),
            address,
            gate: Rc::new(EndpointGate {
                closure: watch::Sender::default(),
                started: watch::Sender::default(),
                clock,
            }),
        }
    }

    /// What the endpoint has said of itself.
    pub(super) fn closure(&self) -> watch::Receiver<Closure> {
        self.gate.closure.subscribe()
    }

    /// Notes the run of the endpoint. What a former run has said is dropped.
    pub(super) fn set_run(&self, started: Option<Started>) {
        let former = self.gate.started.send_replace(started);
        if former.is_some() && started.is_some() && former != started {
            self.gate.closure.send_replace(Closure::default());
        }
    }

    /// Sends a request of a caller, if the endpoint takes requests, and waits for the head of the
    /// response.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(HeaderName, &str)],
        body: Bytes,
    ) -> Result<upstream::Response> {
        let head = self.head(method, path, headers)?;
        let gate = Rc::clone(&self.gate) as Rc<dyn Gate>;
        let response = self.client.send_through(gate, self.address, head, body);
        response.await.map_err(|error| endpoint_lost(&error))
    }

    /// Sends a call of the agent itself, and waits for the head of the response.
    async fn call(&self, head: RequestHead, body: Bytes) -> Result<upstream::Response> {
        let response = self.client.send(self.address, head, body).await;
        let response = response.map_err(|error| endpoint_lost(&error))?;
        self.gate.record(&response.head);
        Ok(response)
    }

    fn head(
        &self,
        method: Method,
        path: &str,
        headers: &[(HeaderName, &str)],
    ) -> Result<RequestHead> {
        let invalid = |error: &dyn std::fmt::Display| {
            let detail = format!("the request cannot be written: {error}");
            Error::new(Kind::BadRequest, detail).with_executed(Executed::No)
        };
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = path.parse::<Uri>().map_err(|error| invalid(&error))?;
        head.set_connection_type(ConnectionType::Close);
        let host = self.address.to_string();
        for (name, value) in headers.iter().chain(&[(HOST, host.as_str())]) {
            let value = HeaderValue::from_str(value).map_err(|error| invalid(&error))?;
            head.headers.insert(name.clone(), value);
        }
        Ok(head)
    }

    /// Sends a request of a caller as a JSON document.
    pub(super) async fn post_json(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<upstream::Response> {
        let body = to_json(document)?;
        self.send(Method::POST, path, &[JSON], body).await
    }

    /// Sends a control call with a JSON document.
    pub(super) async fn control_json(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<upstream::Response> {
        let body = to_json(document)?;
        let head = self.head(Method::POST, path, &[JSON])?;
        self.call(head, body).await
    }

    /// Fetches a JSON document within `limit`.
    pub(super) async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T> {
        let fetched = time::timeout(limit, async {
            let head = self.head(Method::GET, path, &[])?;
            let mut response = self.call(head, Bytes::new()).await?;
            let body = response.body.collect(CONTROL_RESPONSE_MAX).await;
            body.map_err(|error| endpoint_lost(&error))
        });
        let body = fetched
            .await
            .unwrap_or_else(|_elapsed| Err(Error::new(Kind::EndpointLost, "no answer in time")))?;
        serde_json::from_slice(&body).map_err(|error| {
            Error::new(Kind::EndpointFailed, "the answer is not valid").with_source(error)
        })
    }
}

/// Media type of a JSON document.
const JSON: (HeaderName, &str) = (CONTENT_TYPE, "application/json");

fn to_json(document: &impl Serialize) -> Result<Bytes> {
    let body = serde_json::to_vec(document).map_err(|error| {
        Error::new(Kind::Internal, "the request cannot be encoded")
            .with_executed(Executed::No)
            .with_source(error)
    })?;
    Ok(Bytes::from(body))
}

/// Keeps what the endpoint says of itself, and stops requests while it takes none.
struct EndpointGate {
    closure: watch::Sender<Closure>,
    /// When the current run of the endpoint started, as in its last load report.
    started: watch::Sender<Option<Started>>,
    clock: Shared,
}

impl fmt::Debug for EndpointGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointGate")
            .field("closure", &*self.closure.borrow())
            .finish_non_exhaustive()
    }
}

impl EndpointGate {
    fn record(&self, head: &ResponseHead) {
        let notice = decode_notice(head);
        if !notice.is_empty() {
            let now = self.clock.now();
            let before = self.closure.borrow().standing(now);
            self.closure.send_modify(|closure| closure.add(notice, now));
            let closure = *self.closure.borrow();
            let standing = closure.standing(now);
            if standing != before {
                log::info!(standing:% = standing,
                    pause_ms:? = closure.opens_in(now).map(|time| time.as_millis());
                    "endpoint asked for no new requests in its answer");
            }
        }
    }
}

impl Gate for EndpointGate {
    fn may_send(&self) -> bool {
        self.closure.borrow().standing(self.clock.now()) == Standing::Open
    }

    fn revoked(&self) -> LocalBoxFuture<'static, ()> {
        let mut closure = self.closure.subscribe();
        let clock = Arc::clone(&self.clock);
        async move {
            let is_leaving = |closure: &Closure| closure.standing(clock.now()) == Standing::Leaving;
            if closure.wait_for(is_leaving).await.is_err() {
                // The agent has ended, which ends the request too.
                std::future::pending::<()>().await;
            }
            time::sleep(Budget::default().upload_time()).await;
        }
        .boxed_local()
    }

    fn on_head(&self, head: &ResponseHead, _reused: bool) -> bool {
        self.record(head);
        true
    }
}

/// Decodes what an endpoint says of itself. Of several pauses the longest counts; one that is no
/// number of seconds is ignored.
fn decode_notice(head: &ResponseHead) -> Notice {
    let headers = head.headers();
    let values = headers.get_all(RETRY_AFTER);
    let pause = Pause::longest(values.filter_map(|value| value.to_str().ok()));
    let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE;
    Notice {
        leaving: headers.get_all(ENDPOINT_LEAVING).any(|value| value == "1"),
        pause: pause.filter(|_| is_refusal),
    }
}

/// Maps a failed request. Only one of which nothing was sent has certainly not run.
pub(super) fn endpoint_lost(error: &upstream::Error) -> Error {
    let (kind, executed) = match error.kind() {
        // It closed after the worker had started the attempt, which is no failure.
        upstream::Kind::Withheld => (Kind::Leaving, Executed::No),
        upstream::Kind::NotSent | upstream::Kind::Refused => (Kind::EndpointLost, Executed::No),
        upstream::Kind::Interrupted
        | upstream::Kind::Lost
        | upstream::Kind::Malformed
        | upstream::Kind::Exceeded => (Kind::EndpointLost, Executed::Unknown),
    };
    Error::new(kind, "there is no answer of the endpoint")
        .with_executed(executed)
        .with_source(error.clone())
}
