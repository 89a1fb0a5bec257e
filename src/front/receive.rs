use std::time::Duration;

use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::time;

use super::Result;
use crate::{
    error::{Error, Kind},
    unit,
};

/// Longest time for a request body, so that a slow sender holds no task for long.
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// Longest name of a field, in bytes, that an error repeats.
const FIELD_MAX: usize = 64;

/// Receives a body of at most `limit`.
pub(crate) async fn body(payload: Payload, limit: unit::Bytes) -> Result<Bytes> {
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

/// Parses a JSON body. The error names the place and the field but repeats no value.
pub(super) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let what = match error.classify() {
            Category::Data => format!("the body is not as expected: {}", fault(&error)),
            _ => "the body is not JSON".to_owned(),
        };
        let place = format!("line {} column {}", error.line(), error.column());
        Error::new(Kind::BadRequest, format!("{what}: {place}"))
    })
}

/// What is wrong with a field. The parser's own text is not used, because for a value of another
/// type it quotes the value, which may be a prompt.
fn fault(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let fault = ["unknown", "missing", "duplicate"]
        .into_iter()
        .find(|fault| {
            let rest = text.strip_prefix(fault);
            rest.is_some_and(|rest| rest.starts_with(" field `"))
        });
    let name = text
        .split('`')
        .nth(1)
        .filter(|name| name.len() <= FIELD_MAX);
    match (fault, name) {
        (Some(fault), Some(name)) => format!("{fault} field {name}"),
        (Some(fault), None) => format!("{fault} field"),
        (None, _) => "a value of another type".to_owned(),
    }
}
