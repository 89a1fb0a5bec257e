use std::time::Duration;

use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::time;

use super::Result;
use crate::{
    error::{Error, Kind},
    memory::Reservation,
    unit,
};

/// Timeout for receiving a request body, so that a slow sender does not occupy a task.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Part of the announced length of a body that has to arrive before the whole buffer is allocated, as its
/// reciprocal.
const ANNOUNCED_DIVISOR: usize = 4;

/// Longest field name that is quoted in an error, in bytes.
const MAX_FIELD_NAME: usize = 64;

/// Receives a request body of at most `limit` bytes.
pub(crate) async fn read_body(payload: Payload, limit: unit::Bytes) -> Result<Bytes> {
    read_held_body(payload, None, limit, &mut Reservation::uncounted()).await
}

/// Receives a request body of at most `limit` bytes, which are counted in `held`.
pub(crate) async fn read_held_body(
    payload: Payload,
    announced: Option<u64>,
    limit: unit::Bytes,
    held: &mut Reservation,
) -> Result<Bytes> {
    time::timeout(BODY_TIMEOUT, collect(payload, announced, limit, held))
        .await
        .map_err(|_elapsed| Error::new(Kind::RequestTimeout, "the body came too slowly"))?
}

/// Refuses a body by its announced length, before any of it is read. Its bytes are not held yet: a caller
/// that announces a body and sends none would otherwise use up what others may hold.
///
/// # Errors
///
/// `Kind::TooLarge` if it is over the limit, `Kind::Overloaded` if it could not be held now.
pub(crate) fn check_announced(
    announced: Option<u64>,
    limit: unit::Bytes,
    held: &Reservation,
) -> Result<()> {
    let Some(announced) = announced else {
        return Ok(());
    };
    if announced > limit.get() {
        return Err(too_large(limit));
    }
    held.check(announced)
}

fn too_large(limit: unit::Bytes) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit}"))
}

async fn collect(
    mut payload: Payload,
    announced: Option<u64>,
    limit: unit::Bytes,
    held: &mut Reservation,
) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| {
            Error::new(Kind::BadRequest, "the body is not complete").with_source(error.to_string())
        })?;
        if (body.len() + part.len()) as u64 > limit.get() {
            return Err(too_large(limit));
        }
        let length = body.len() + part.len();
        if length > body.capacity() {
            let capacity = grown_capacity(length, announced);
            held.resize(capacity)?;
            body.reserve(capacity - body.len());
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Capacity of the buffer of a body of which `length` bytes have arrived. The announced length is not allocated
/// for a caller that has sent little of it; later it is, since each growth leaves a smaller buffer behind.
fn grown_capacity(length: usize, announced: Option<u64>) -> usize {
    let announced = announced.and_then(|announced| usize::try_from(announced).ok());
    let whole = announced.filter(|announced| length * ANNOUNCED_DIVISOR >= *announced);
    whole.map_or(length * 2, |announced| announced.max(length))
}

/// Parses a JSON body. Errors contain the position and the field name, but no values.
pub(super) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let what = match error.classify() {
            Category::Data => format!(
                "the body is not as expected: {}",
                describe_data_error(&error)
            ),
            _ => "the body is not JSON".to_owned(),
        };
        let place = format!("line {} column {}", error.line(), error.column());
        Error::new(Kind::BadRequest, format!("{what}: {place}"))
    })
}

/// Describes a data error. The message of `serde_json` is not used, because for a value of the
/// wrong type it quotes the value, which may be a prompt.
fn describe_data_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let problem = ["unknown", "missing", "duplicate"]
        .into_iter()
        .find(|problem| {
            let rest = text.strip_prefix(problem);
            rest.is_some_and(|rest| rest.starts_with(" field `"))
        });
    let name = text
        .split('`')
        .nth(1)
        .filter(|name| name.len() <= MAX_FIELD_NAME);
    match (problem, name) {
        (Some(problem), Some(name)) => format!("{problem} field {name}"),
        (Some(problem), None) => format!("{problem} field"),
        (None, _) => "a value of another type".to_owned(),
    }
}
