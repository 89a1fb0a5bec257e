use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::header};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde::Deserialize;

use super::{Answer, Endpoint, Job, Piece, Result, State, engine::send_error};
use crate::{
    error::{Error, Executed, Kind},
    id::Fence,
    unit::Tokens,
    wire::{Change, Invoke, Load, Work},
};

/// Largest answer of a service.
const BODY_MAX: usize = 1 << 20;
/// Longest time for a load report.
const STATE_LIMIT: Duration = Duration::from_secs(2);
/// Longest time until the service answers. The deadline of the attempt is shorter.
const ANSWER_LIMIT: Duration = Duration::from_hours(1);

/// A plain service over HTTP: `POST /{operation}` with an `Idempotency-Key` header.
#[derive(Clone)]
pub struct Plain {
    client: Client,
    address: SocketAddr,
}

impl std::fmt::Debug for Plain {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Plain")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Plain {
    /// A client of the service at `address`. No connection is opened before the first job.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        // A request on a connection that the service has just closed would end as `unknown`. A
        // service call is rare enough to pay for a new connection each time.
        let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
        let client = Client::builder()
            .timeout(ANSWER_LIMIT)
            .connector(connector)
            .finish();
        Self { client, address }
    }

    async fn call(self, invoke: Invoke) -> Result<[Piece; 2]> {
        let once = invoke.once;
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
        let ran = if status < 300 {
            Executed::Yes
        } else {
            Executed::Unknown
        };
        let body = response.body().limit(BODY_MAX).await.map_err(|error| {
            Error::new(Kind::EndpointLost, "the answer of the service was lost")
                .with_executed(ran)
                .with_source(error.to_string())
        })?;
        // A status of 503 is no proof that the operation did not run, so that a call which may
        // not be repeated hands it to the caller as the answer of the service.
        if status == 503 && !once {
            return Err(Error::new(
                Kind::EndpointFailed,
                "the service is unavailable",
            ));
        }
        let end = Piece::End {
            reason: content_type,
            status,
            input: Tokens::ZERO,
            output: Tokens::ZERO,
        };
        Ok([Piece::Data(body.to_vec()), end])
    }

    async fn fetch_state(&self) -> Result<State> {
        let url = format!("http://{}/control/load", self.address);
        let mut response = self
            .client
            .get(url)
            .timeout(STATE_LIMIT)
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
        Ok(State {
            load,
            draining: report.draining,
            ..State::default()
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

impl Endpoint for Plain {
    fn run(&self, job: Job) -> Answer {
        let Work::Invoke(invoke) = job.work else {
            let error = Error::new(Kind::BadRequest, "a service generates no text");
            return stream::iter([Err(error.with_executed(Executed::No))]).boxed_local();
        };
        let call = self.clone().call(invoke);
        let pieces = |called: Result<[Piece; 2]>| match called {
            Ok(pieces) => stream::iter(pieces.map(Ok)).boxed_local(),
            Err(error) => stream::iter([Err(error)]).boxed_local(),
        };
        stream::once(call).flat_map(pieces).boxed_local()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<State>> {
        self.fetch_state().boxed_local()
    }

    fn change(&self, _change: Change, _fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        let error = Error::new(Kind::BadRequest, "a service has neither role nor models");
        async { Err(error) }.boxed_local()
    }
}
