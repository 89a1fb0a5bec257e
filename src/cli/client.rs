use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest, ClientResponse, http::Method};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, de::DeserializeOwned};

use super::imp::KEY_VARIABLE;
use crate::error::{Error, Executed, Kind, Result};

/// Timeout of a request. It covers an edit that the entry retries after a lost response of the store.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum size of a response, which contains at most a whole document and its envelope.
const RESPONSE_BYTES_MAX: usize = 16 << 20;

/// HTTP client for the operator interface of an entry.
pub(super) struct OperatorClient {
    client: Client,
    entry: SocketAddr,
    key: String,
}

/// Fields of a problem document (RFC 9457) that are converted to an [`Error`].
#[derive(Deserialize)]
struct Problem {
    r#type: String,
    detail: String,
    executed: Executed,
}

impl OperatorClient {
    /// Creates a client with the key from the environment variable [`KEY_VARIABLE`].
    pub(super) fn from_env(entry: SocketAddr) -> Result<Self> {
        let key = std::env::var(KEY_VARIABLE).map_err(|_missing| {
            Error::new(
                Kind::BadRequest,
                format!("set {KEY_VARIABLE} to the operator key"),
            )
        })?;
        Ok(Self {
            client: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            entry,
            key,
        })
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}/operator/v1/{path}", self.entry);
        self.client.request(method, url).bearer_auth(&self.key)
    }

    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        parse(&self.send(Method::GET, path, String::new()).await?)
    }

    pub(super) async fn put<T: DeserializeOwned>(&self, path: &str, body: String) -> Result<T> {
        parse(&self.send(Method::PUT, path, body).await?)
    }

    pub(super) async fn post(&self, path: &str) -> Result<()> {
        self.send(Method::POST, path, String::new())
            .await
            .map(|_body| ())
    }

    async fn send(&self, method: Method, path: &str, body: String) -> Result<Bytes> {
        let response = self.request(method, path).send_body(body).await;
        let mut response = response.map_err(|error| self.connection_error(&error))?;
        let status = response.status();
        let body = response
            .body()
            .limit(RESPONSE_BYTES_MAX)
            .await
            .map_err(|error| {
                Error::new(
                    Kind::EndpointLost,
                    format!("the response of the entry was lost: {error}"),
                )
            })?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(problem_error(&body))
        }
    }

    /// Opens an endless stream of response chunks.
    pub(super) async fn stream(
        &self,
        path: &str,
    ) -> Result<impl Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>>> {
        let response = self.request(Method::GET, path).send().await;
        let mut response: ClientResponse<_> =
            response.map_err(|error| self.connection_error(&error))?;
        if !response.status().is_success() {
            let body = response
                .body()
                .limit(RESPONSE_BYTES_MAX)
                .await
                .unwrap_or_default();
            return Err(problem_error(&body));
        }
        // The timeout applies only to the response head, because the body has no end.
        Ok(response.timeout(Duration::MAX))
    }

    fn connection_error(&self, error: &awc::error::SendRequestError) -> Error {
        let detail = format!("cannot reach the entry {}: {error}", self.entry);
        Error::new(Kind::EndpointLost, detail)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        Error::new(
            Kind::EndpointFailed,
            format!("the response of the entry is not valid: {error}"),
        )
    })
}

/// Converts the problem document of a response to an error.
fn problem_error(body: &[u8]) -> Error {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return Error::new(
            Kind::EndpointFailed,
            "the entry returned an error without a problem document",
        );
    };
    let slug = problem.r#type.rsplit(':').next().unwrap_or_default();
    let kind = slug.parse().unwrap_or(Kind::Internal);
    Error::new(kind, problem.detail).with_executed(problem.executed)
}
