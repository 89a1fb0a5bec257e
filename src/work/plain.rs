use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::header};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde::Deserialize;

use super::{
    EndpointClient, EndpointState, Job, ResponsePart, ResponseStream, Result, engine::send_error,
};
use crate::{
    error::{Error, Executed, Kind},
    id::Fence,
    unit::Tokens,
    wire::{Change, Invoke, Load, Work},
};

/// Largest accepted response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 1 << 20;
/// Timeout of a load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a response. In practice the shorter deadline of the attempt applies.
const RESPONSE_TIMEOUT: Duration = Duration::from_hours(1);

/// Client of a plain HTTP service, called by `POST /{operation}` with an
/// `Idempotency-Key` header.
#[derive(Clone)]
pub struct ServiceClient {
    client: Client,
    address: SocketAddr,
}

impl std::fmt::Debug for ServiceClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServiceClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl ServiceClient {
    /// Creates a client of the service at `address`. It connects with its first request.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        // The outcome of a request on a connection that the service has just closed is unknown.
        // Service calls are rare enough to open a new connection for each one.
        let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
        let client = Client::builder()
            .timeout(RESPONSE_TIMEOUT)
            .connector(connector)
            .finish();
        Self { client, address }
    }

    async fn call(self, invoke: Invoke) -> Result<[ResponsePart; 2]> {
        let once = invoke.at_most_once;
        let url = format!("http://{}/{}", self.address, invoke.operation);
        let mut request = self
            .client
            .post(url)
            .insert_header((header::CONTENT_TYPE, invoke.content_type))
            .insert_header((header::CONNECTION, "close"));
        if let Some(key) = &invoke.key {
            request = request.insert_header(("Idempotency-Key", key.as_str()));
        }
        let mut response = request
            .send_body(invoke.body)
            .await
            .map_err(|error| send_error(&error))?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let executed = if status < 300 {
            Executed::Yes
        } else {
            Executed::Unknown
        };
        let body = response
            .body()
            .limit(RESPONSE_MAX_BYTES)
            .await
            .map_err(|error| {
                Error::new(Kind::EndpointLost, "the answer of the service was lost")
                    .with_executed(executed)
                    .with_source(error.to_string())
            })?;
        // A 503 status does not prove that the operation did not run, so an at-most-once call
        // returns it to the caller as the response of the service.
        if status == 503 && !once {
            return Err(Error::new(
                Kind::EndpointFailed,
                "the service is unavailable",
            ));
        }
        let end = ResponsePart::End {
            reason: content_type,
            status,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
        };
        Ok([ResponsePart::Data(body.to_vec()), end])
    }

    async fn fetch_state(&self) -> Result<EndpointState> {
        let url = format!("http://{}/control/load", self.address);
        let mut response = self
            .client
            .get(url)
            .timeout(LOAD_REPORT_TIMEOUT)
            .send()
            .await
            .map_err(|error| send_error(&error))?;
        let report: ServiceLoad = response.json().await.map_err(|error| {
            Error::new(Kind::EndpointFailed, "the load report is not valid")
                .with_source(error.to_string())
        })?;
        let load = Load {
            waiting: report.waiting,
            decoding: report.running,
            ..Load::default()
        };
        Ok(EndpointState {
            load,
            draining: report.draining,
            ..EndpointState::default()
        })
    }
}

/// Load report of a service.
#[derive(Deserialize)]
struct ServiceLoad {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    draining: bool,
}

impl EndpointClient for ServiceClient {
    fn run(&self, job: Job) -> ResponseStream {
        let Work::Invoke(invoke) = job.work else {
            let error = Error::new(Kind::BadRequest, "a service generates no text");
            return stream::iter([Err(error.with_executed(Executed::No))]).boxed_local();
        };
        let call = self.clone().call(invoke);
        let parts = |result: Result<[ResponsePart; 2]>| match result {
            Ok(parts) => stream::iter(parts.map(Ok)).boxed_local(),
            Err(error) => stream::iter([Err(error)]).boxed_local(),
        };
        stream::once(call).flat_map(parts).boxed_local()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<EndpointState>> {
        self.fetch_state().boxed_local()
    }

    fn change(&self, _change: Change, _fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        let error = Error::new(Kind::BadRequest, "a service has neither role nor models");
        async { Err(error) }.boxed_local()
    }
}
