use std::{net::SocketAddr, time::Duration};

use actix_http::{ConnectionType, RequestHead};
use actix_web::http::{
    Method, Uri,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use super::Result;
use crate::{
    error::{Error, Executed, Kind},
    upstream::{self, Client},
};

/// Largest accepted response of a control call, in bytes.
const CONTROL_RESPONSE_MAX: usize = 256 << 10;

/// HTTP client of one endpoint. Each request has a connection of its own: on a kept one, a copy of an
/// earlier response could arrive in place of the right one, and the protocol has no id to tell them
/// apart.
#[derive(Clone, Debug)]
pub(super) struct Http {
    client: Client,
    address: SocketAddr,
}

impl Http {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::without_reuse(),
            address,
        }
    }

    /// Sends a request, and waits for the head of the response.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(HeaderName, &str)],
        body: Bytes,
    ) -> Result<upstream::Response> {
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
        let response = self.client.send(self.address, head, body).await;
        response.map_err(|error| endpoint_lost(&error))
    }

    /// Sends a JSON document.
    pub(super) async fn post_json(
        &self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<upstream::Response> {
        let body = serde_json::to_vec(document).map_err(|error| {
            Error::new(Kind::Internal, "the request cannot be encoded")
                .with_executed(Executed::No)
                .with_source(error)
        })?;
        let headers = [(CONTENT_TYPE, "application/json")];
        self.send(Method::POST, path, &headers, Bytes::from(body))
            .await
    }

    /// Fetches a JSON document within `limit`.
    pub(super) async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T> {
        let fetched = time::timeout(limit, async {
            let mut response = self.send(Method::GET, path, &[], Bytes::new()).await?;
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

/// Maps a failed request. Only one that was not sent has certainly not run.
pub(super) fn endpoint_lost(error: &upstream::Error) -> Error {
    let executed = match error.kind() {
        upstream::Kind::NotSent | upstream::Kind::Withheld => Executed::No,
        upstream::Kind::Lost | upstream::Kind::Malformed => Executed::Unknown,
    };
    Error::new(Kind::EndpointLost, "the answer of the endpoint was lost")
        .with_executed(executed)
        .with_source(error.clone())
}
