use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest,
    http::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderMap},
    web::Bytes,
};

use super::{EndpointClient, Result, names};
use crate::{
    customer::{Customer, Key},
    error::{Error, Kind},
    forward::{Call, Generation, Upstream},
    id, ingress,
    unit::{self, Tokens},
};

/// Decodes the HTTP requests of the platform's clients.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Bytes of answers that are held.
    buffers: unit::Bytes,
}

impl Protocol {
    /// Creates the protocol. Clients of endpoints hold up to `buffers` of answers.
    #[must_use]
    pub const fn new(buffers: unit::Bytes) -> Self {
        Self { buffers }
    }
}

impl ingress::Protocol for Protocol {
    fn readiness_path(&self) -> &'static str {
        names::READINESS
    }

    fn call_id(&self, request: &HttpRequest) -> Option<id::Call> {
        header_text(request.headers(), names::REQUEST_ID).and_then(|id| id.parse().ok())
    }

    fn key(&self, request: &HttpRequest) -> Option<Key> {
        let mut values = request.headers().get_all(AUTHORIZATION);
        let value = values.next().filter(|_| values.next().is_none())?;
        let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
        let key = key.trim_start_matches(' ');
        let is_bearer = scheme.eq_ignore_ascii_case("bearer");
        let is_whole = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
        (is_bearer && is_whole).then(|| Key::new(key))
    }

    fn identify(&self, call: &mut Call, customer: Option<Arc<Customer>>) {
        call.headers.remove(AUTHORIZATION);
        call.headers.remove(names::TENANT);
        call.customer = customer;
    }

    fn decode(&self, request: &HttpRequest, body: Bytes, arrived: Instant) -> Result<Call> {
        let received = request.headers();
        let timeout = header_number::<u64>(received, names::DEADLINE_MS)?;
        let resume_after = header_text(received, names::LAST_EVENT_ID).map(str::parse);
        let target = request.uri().path_and_query();
        Ok(Call {
            id: self.call_id(request),
            method: request.method().clone(),
            target: target.map_or_else(|| "/".to_owned(), ToString::to_string),
            headers: end_to_end_headers(received),
            body,
            arrived,
            timeout: timeout.map(Duration::from_millis),
            generation: parse_generation(received)?,
            shared_parts: parse_shared_parts(received),
            resume_after: resume_after.transpose()?,
            customer: None,
        })
    }

    fn upstream(&self) -> Rc<dyn Upstream> {
        Rc::new(EndpointClient::new(self.buffers))
    }
}

fn parse_generation(headers: &HeaderMap) -> Result<Option<Generation>> {
    let Some(counts) = header_text(headers, names::TOKEN_COUNT) else {
        return Ok(None);
    };
    let malformed = || Error::new(Kind::BadRequest, "malformed token count");
    let (prompt, max_output) = counts.split_once(',').ok_or_else(malformed)?;
    let parse = |text: &str| text.trim().parse().map_err(|_error| malformed());
    let (prompt, max_output) = (parse(prompt)?, parse(max_output)?);
    let prefix = header_text(headers, names::PREFIX_HASH).unwrap_or_default();
    let parts: Vec<(&str, u64)> = prefix.split(',').filter_map(parse_prefix_part).collect();
    // The last part is specific to this request or its session.
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let affinity = shared.last().map(|(id, _)| {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    });
    let tokens: Tokens = shared.iter().map(|(_, tokens)| Tokens::new(*tokens)).sum();
    Ok(Some(Generation {
        prompt: Tokens::new(prompt),
        max_output: Tokens::new(max_output),
        shared: tokens.min(Tokens::new(prompt)),
        affinity,
    }))
}

/// The parts of the prompt before the last one, which is specific to its request or session.
fn parse_shared_parts(headers: &HeaderMap) -> Arc<[id::PromptPart]> {
    let prefix = header_text(headers, names::PREFIX_HASH).unwrap_or_default();
    let mut ids: Vec<&str> = prefix
        .split(',')
        .filter_map(parse_prefix_part)
        .map(|(id, _)| id)
        .collect();
    ids.pop();
    ids.into_iter().filter_map(|id| id.parse().ok()).collect()
}

fn parse_prefix_part(text: &str) -> Option<(&str, u64)> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some((id, tokens.parse().ok()?))
}

/// Copies the headers that are passed to the endpoint. `Content-Length` is written again with the
/// body.
fn end_to_end_headers(received: &HeaderMap) -> HeaderMap {
    let connection = header_text(received, "connection").unwrap_or_default();
    let listed_in_connection: Vec<String> = connection
        .split(',')
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::new();
    for (name, value) in received {
        let dropped = names::SYSTEM_HEADERS.contains(&name.as_str())
            || names::HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || name == CONTENT_LENGTH
            || listed_in_connection
                .iter()
                .any(|dropped| dropped == name.as_str());
        if !dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>> {
    let number = header_text(headers, name).map(|text| text.trim().parse());
    number
        .transpose()
        .map_err(|_error| Error::new(Kind::BadRequest, format!("{name} is not a number")))
}
