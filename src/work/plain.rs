use std::{net::SocketAddr, time::Duration};

use actix_web::http::{
    Method,
    header::{CONTENT_TYPE, HeaderName},
};
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde::Deserialize;
use tokio::sync::watch;

use super::{
    EndpointClient, EndpointState, Job, ResponsePart, ResponseStream, Result,
    http::{Http, endpoint_lost},
};
use crate::{
    clock::Shared,
    directory::Started,
    error::{Error, Executed, Kind},
    id::Fence,
    notice::Closure,
    unit::Tokens,
    wire::{Change, Invoke, Load, Work},
};

/// Largest accepted response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 1 << 20;
/// Timeout of a load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Header with the idempotency key of a call.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Client of a plain HTTP service, called by `POST /{operation}` with an
/// `Idempotency-Key` header.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: Http,
}

impl ServiceClient {
    /// Creates a client of the service at `address`. It connects with its first request.
    #[must_use]
    pub fn open(address: SocketAddr, clock: Shared) -> Self {
        Self {
            http: Http::new(address, clock),
        }
    }

    async fn call(self, invoke: Invoke) -> Result<[ResponsePart; 2]> {
        let once = invoke.at_most_once;
        let path = format!("/{}", invoke.operation);
        let mut headers = vec![(CONTENT_TYPE, invoke.content_type.as_str())];
        headers.extend(
            invoke
                .key
                .as_ref()
                .map(|key| (IDEMPOTENCY_KEY, key.as_str())),
        );
        let body = Bytes::from(invoke.body);
        let sent = self.http.send(Method::POST, &path, &headers, body).await;
        let mut response = sent?;
        let status = response.head.status.as_u16();
        let content_type = response
            .head
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let executed = if status < 300 {
            Executed::Yes
        } else {
            Executed::Unknown
        };
        let body = response.body.collect(RESPONSE_MAX_BYTES).await;
        let body = body.map_err(|error| endpoint_lost(&error).with_executed(executed))?;
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
        Ok([ResponsePart::Data(body), end])
    }

    async fn fetch_state(&self) -> Result<EndpointState> {
        let report = self.http.get_json("/control/load", LOAD_REPORT_TIMEOUT);
        let report: ServiceLoad = report.await?;
        self.http.set_run(report.started.map(Started::from_millis));
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
    /// Unix time of the start of this run, in milliseconds.
    started: Option<u64>,
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

    fn closure(&self) -> watch::Receiver<Closure> {
        self.http.closure()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<EndpointState>> {
        self.fetch_state().boxed_local()
    }

    fn change(&self, _change: Change, _fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        let error = Error::new(Kind::BadRequest, "a service has neither role nor models");
        async { Err(error) }.boxed_local()
    }
}
