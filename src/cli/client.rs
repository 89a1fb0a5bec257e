use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest, ClientResponse, http::Method};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, de::DeserializeOwned};

use super::imp::KEY_VARIABLE;
use crate::error::{Error, Executed, Kind, Result};

/// Longest time for an answer. An edit may have to settle a lost answer of the store first.
const LIMIT: Duration = Duration::from_mins(1);
/// Largest answer: a document and its envelope.
const BODY_MAX: usize = 16 << 20;

/// A client of an entry's operator interface.
pub(super) struct Operator {
    client: Client,
    entry: SocketAddr,
    key: String,
}

/// The fields of a problem document that are shown.
#[derive(Deserialize)]
struct Problem {
    r#type: String,
    detail: String,
    executed: Executed,
}

impl Operator {
    pub(super) fn open(entry: SocketAddr) -> Result<Self> {
        let key = std::env::var(KEY_VARIABLE).map_err(|_missing| {
            Error::new(
                Kind::BadRequest,
                format!("set {KEY_VARIABLE} to the operator key"),
            )
        })?;
        Ok(Self {
            client: Client::builder().timeout(LIMIT).finish(),
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
        let mut response = response.map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        let body = response.body().limit(BODY_MAX).await.map_err(|error| {
            Error::new(
                Kind::EndpointLost,
                format!("the answer of the entry was lost: {error}"),
            )
        })?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(problem(&body))
        }
    }

    /// Opens a stream of lines without end.
    pub(super) async fn lines(
        &self,
        path: &str,
    ) -> Result<impl Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>>> {
        let response = self.request(Method::GET, path).send().await;
        let mut response: ClientResponse<_> = response.map_err(|error| self.unreachable(&error))?;
        if !response.status().is_success() {
            let body = response.body().limit(BODY_MAX).await.unwrap_or_default();
            return Err(problem(&body));
        }
        // The head of the answer was in time; the stream itself has no end.
        Ok(response.timeout(Duration::MAX))
    }

    fn unreachable(&self, error: &awc::error::SendRequestError) -> Error {
        let detail = format!("the entry {} cannot be reached: {error}", self.entry);
        Error::new(Kind::EndpointLost, detail)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        Error::new(
            Kind::EndpointFailed,
            format!("the answer of the entry is not valid: {error}"),
        )
    })
}

/// The error that a problem document describes.
fn problem(body: &[u8]) -> Error {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return Error::new(Kind::EndpointFailed, "the entry answered with an error");
    };
    let slug = problem.r#type.rsplit(':').next().unwrap_or_default();
    let kind = slug.parse().unwrap_or(Kind::Internal);
    Error::new(kind, problem.detail).with_executed(problem.executed)
}
