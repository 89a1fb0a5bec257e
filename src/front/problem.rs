use actix_web::{
    HttpResponse,
    http::{StatusCode, header},
};
use serde::Serialize;

use crate::error::Error;

/// Media type of a problem document (RFC 9457).
const PROBLEM_JSON: &str = "application/problem+json";

/// An RFC 9457 problem document.
#[derive(Debug, Serialize)]
pub(super) struct Problem {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: String,
    executed: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl Problem {
    pub(super) fn new(error: &Error, request: Option<String>) -> Self {
        let answer = error.kind().answer();
        Self {
            r#type: format!("urn:mulberrymill:error:{}", answer.slug),
            title: answer.title,
            status: answer.status,
            detail: error.detail().to_owned(),
            executed: error.executed().to_string(),
            retry_after: error.retry_after().map(|period| period.as_secs().max(1)),
            request,
        }
    }

    pub(super) fn respond(self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.insert_header((header::CONTENT_TYPE, PROBLEM_JSON));
        if let Some(seconds) = self.retry_after {
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        if self.status == StatusCode::UNAUTHORIZED.as_u16() {
            response.insert_header((header::WWW_AUTHENTICATE, "Bearer"));
        }
        if self.status == StatusCode::REQUEST_TIMEOUT.as_u16() {
            // The rest of the body may still arrive and must not be parsed as the next request.
            response.force_close();
        }
        // `HttpResponseBuilder::json` would set the media type to `application/json`.
        response.body(serde_json::to_string(&self).unwrap_or_default())
    }
}

/// Converts an error into a response and counts it in `errors_total`.
pub(crate) fn respond(error: &Error) -> HttpResponse {
    metrics::counter!("errors_total", "kind" => error.kind().answer().slug).increment(1);
    Problem::new(error, None).respond()
}
