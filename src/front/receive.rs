use std::time::Duration;

use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use tokio::time;

use super::Result;
use crate::{
    error::{Error, Kind},
    unit,
};

/// Longest time for a request body, so that a slow sender holds no task for long.
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// Receives a body of at most `limit`.
pub(super) async fn body(payload: Payload, limit: unit::Bytes) -> Result<Bytes> {
    time::timeout(BODY_LIMIT, collect(payload, limit))
        .await
        .map_err(|_elapsed| Error::new(Kind::RequestTimeout, "the body came too slowly"))?
}

async fn collect(mut payload: Payload, limit: unit::Bytes) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| {
            Error::new(Kind::BadRequest, "the body is not complete").with_source(error.to_string())
        })?;
        if (body.len() + part.len()) as u64 > limit.get() {
            return Err(Error::new(
                Kind::TooLarge,
                format!("the body is larger than {limit}"),
            ));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Parses a JSON body. The error names the place but does not repeat the text.
pub(super) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let what = match error.classify() {
            serde_json::error::Category::Data => format!("the body is not as expected: {error}"),
            _ => format!(
                "the body is not JSON: line {} column {}",
                error.line(),
                error.column()
            ),
        };
        Error::new(Kind::BadRequest, what)
    })
}
