use std::time::Duration;

use actix_web::{
    HttpResponse,
    http::header,
    web::{Bytes, BytesMut},
};
use futures_util::{Stream, stream};
use serde::Serialize;
use tokio::{sync::mpsc, time};

use super::{
    Result,
    openai::{Format, Style},
    problem::{self, Problem},
};
use crate::{
    error::{Error, Executed, Kind},
    id,
    relay::{Exchange, Part, Summary},
};

/// Largest answer that is collected for a caller that does not stream.
const COLLECT_MAX: usize = 8 << 20;
/// Parts that wait for the caller, and that are written together. With one part at a time each
/// token cost two changes of task and a write of its own: 8.4 us of processor time instead of 3.6.
const PARTS: usize = 16;
/// Time after the deadline of a request at which a caller that does not read is given up. The
/// exchange of a caller that reads reports the deadline before.
const STALL_GRACE: Duration = Duration::from_secs(1);

/// Answers a generation. The first part decides the HTTP status, so that a refusal is a status
/// and not a broken stream.
pub(super) async fn generate(mut exchange: Exchange, format: Format) -> HttpResponse {
    let writer = Writer {
        format,
        request: exchange.id(),
        decoder: Utf8::default(),
    };
    let first = match exchange.next().await {
        Some(Ok(part)) => part,
        Some(Err(error)) => return problem::respond(&error),
        None => return problem::respond(&Error::new(Kind::Internal, "there is no answer")),
    };
    if writer.format.stream {
        writer.stream(exchange, first)
    } else {
        writer
            .collect(exchange, first)
            .await
            .unwrap_or_else(|error| problem::respond(&error))
    }
}

struct Writer {
    format: Format,
    request: id::Request,
    decoder: Utf8,
}

impl Writer {
    fn stream(self, exchange: Exchange, first: Part) -> HttpResponse {
        HttpResponse::Ok()
            .insert_header((header::CONTENT_TYPE, "text/event-stream"))
            .insert_header((header::CACHE_CONTROL, "no-store"))
            .insert_header(("X-Request-Id", self.request.to_string()))
            .streaming(events(self, pump(exchange, first)))
    }

    async fn collect(mut self, mut exchange: Exchange, first: Part) -> Result<HttpResponse> {
        let mut text = String::new();
        let mut part = first;
        loop {
            match part {
                Part::Data(data) => text.push_str(&self.decoder.push(&data)?),
                Part::End(summary) => {
                    self.decoder.finish()?;
                    let body = self.completion(&text, &summary);
                    return Ok(HttpResponse::Ok()
                        .insert_header(("X-Request-Id", self.request.to_string()))
                        .json(body));
                }
            }
            if text.len() > COLLECT_MAX {
                // The kind says `no` for requests that are too large, but this one was generated.
                let error = Error::new(Kind::TooLarge, "the answer is too large; stream it");
                return Err(error.with_executed(Executed::Yes));
            }
            let lost = || Error::new(Kind::Internal, "the answer has no end");
            part = exchange.next().await.ok_or_else(lost)??;
        }
    }

    /// The events for several parts of the answer, and whether the answer is over.
    fn events(&mut self, parts: Vec<Result<Part>>) -> (Bytes, bool) {
        let mut events = BytesMut::new();
        for part in parts {
            let (bytes, over) = match part.and_then(|part| self.event(part)) {
                Ok(written) => written,
                Err(error) => (error_event(&error, self.request), true),
            };
            events.extend_from_slice(&bytes);
            if over {
                return (events.freeze(), true);
            }
        }
        (events.freeze(), false)
    }

    /// The events for one part of the answer.
    fn event(&mut self, part: Part) -> Result<(Bytes, bool)> {
        match part {
            Part::Data(data) => {
                let text = self.decoder.push(&data)?;
                Ok((event(&self.chunk(Some(&text), None)), false))
            }
            Part::End(summary) => {
                self.decoder.finish()?;
                let mut bytes = event(&self.chunk(None, Some(&summary))).to_vec();
                if self.format.include_usage {
                    bytes.extend_from_slice(&event(&self.usage_chunk(&summary)));
                }
                bytes.extend_from_slice(b"data: [DONE]\n\n");
                Ok((Bytes::from(bytes), true))
            }
        }
    }

    fn envelope<'a>(&'a self, choices: Vec<Choice<'a>>, whole: bool) -> Completion<'a> {
        let (prefix, object) = match (self.format.style, whole) {
            (Style::Text, _) => ("cmpl", "text_completion"),
            (Style::Chat, true) => ("chatcmpl", "chat.completion"),
            (Style::Chat, false) => ("chatcmpl", "chat.completion.chunk"),
        };
        Completion {
            id: format!("{prefix}-{}", self.request),
            object,
            created: self.format.created,
            model: &self.format.model,
            service_tier: self.format.class.as_str(),
            choices,
            usage: None,
        }
    }

    fn chunk<'a>(&'a self, text: Option<&'a str>, end: Option<&'a Summary>) -> Completion<'a> {
        let finish_reason = end.map(|summary| summary.reason.as_str());
        let choice = match self.format.style {
            Style::Text => Choice {
                text: Some(text.unwrap_or("")),
                ..Choice::new(finish_reason)
            },
            Style::Chat => {
                let delta = Delta {
                    role: text.map(|_text| ASSISTANT),
                    content: text,
                };
                Choice {
                    delta: Some(delta),
                    ..Choice::new(finish_reason)
                }
            }
        };
        self.envelope(vec![choice], false)
    }

    fn usage_chunk(&self, summary: &Summary) -> Completion<'_> {
        Completion {
            usage: Some(usage(summary)),
            ..self.envelope(Vec::new(), false)
        }
    }

    fn completion<'a>(&'a self, text: &'a str, summary: &'a Summary) -> Completion<'a> {
        let reason = Some(summary.reason.as_str());
        let choice = match self.format.style {
            Style::Text => Choice {
                text: Some(text),
                ..Choice::new(reason)
            },
            Style::Chat => {
                let message = Delta {
                    role: Some(ASSISTANT),
                    content: Some(text),
                };
                Choice {
                    message: Some(message),
                    ..Choice::new(reason)
                }
            }
        };
        Completion {
            usage: Some(usage(summary)),
            ..self.envelope(vec![choice], true)
        }
    }
}

const ASSISTANT: &str = "assistant";

/// Reads an exchange in a task of its own, at most two parts ahead of the caller.
///
/// The server does not poll the body of a caller that stops reading. The task ends the exchange of
/// such a caller when its time is over, so that it does not keep its slot, and when the caller
/// disconnects.
fn pump(mut exchange: Exchange, first: Part) -> mpsc::Receiver<Result<Part>> {
    let (sender, parts) = mpsc::channel(PARTS);
    actix_rt::spawn(async move {
        let limit = exchange.time_left() + STALL_GRACE;
        let pumping = async {
            let mut part = Ok(first);
            while matches!(part, Ok(Part::Data(_))) {
                sender.send(part).await.ok()?;
                part = exchange.next().await?;
            }
            Some(part)
        };
        let last = tokio::select! {
            biased;
            last = pumping => last,
            () = sender.closed() => None,
            () = time::sleep(limit) => None,
        };
        drop(exchange);
        if let Some(last) = last {
            // The caller may have left; the answer itself is complete or has failed.
            let _left = sender.send(last).await;
        }
    });
    parts
}

/// Writes the answer as server-sent events. After an error the stream ends with an event that holds
/// the problem and without `[DONE]`, so that a caller can tell a cut from the end.
fn events(
    writer: Writer,
    parts: mpsc::Receiver<Result<Part>>,
) -> impl Stream<Item = std::result::Result<Bytes, actix_web::Error>> {
    stream::unfold(Some((writer, parts)), |rest| async move {
        let (mut writer, mut parts) = rest?;
        let mut batch = Vec::with_capacity(PARTS);
        if parts.recv_many(&mut batch, PARTS).await == 0 {
            let late = Error::new(Kind::Deadline, "the answer was not read in time");
            batch.push(Err(late));
        }
        let (bytes, over) = writer.events(batch);
        Some((Ok(bytes), (!over).then_some((writer, parts))))
    })
}

fn error_event(error: &Error, request: id::Request) -> Bytes {
    metrics::counter!("errors_total", "kind" => error.kind().answer().slug).increment(1);
    event(&ErrorBody {
        error: Problem::new(error, Some(request.to_string())),
    })
}

#[derive(Serialize)]
struct ErrorBody {
    error: Problem,
}

fn event(body: &impl Serialize) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    if let Err(error) = serde_json::to_writer(&mut bytes, body) {
        log::error!(error:% = error; "event could not be written");
    }
    bytes.extend_from_slice(b"\n\n");
    Bytes::from(bytes)
}

#[derive(Serialize)]
struct Completion<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    service_tier: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    logprobs: Option<()>,
    finish_reason: Option<&'a str>,
}

impl<'a> Choice<'a> {
    const fn new(finish_reason: Option<&'a str>) -> Self {
        Self {
            index: 0,
            text: None,
            delta: None,
            message: None,
            logprobs: None,
            finish_reason,
        }
    }
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the published interface"
)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

fn usage(summary: &Summary) -> Usage {
    Usage {
        prompt_tokens: summary.input.get(),
        completion_tokens: summary.output.get(),
        total_tokens: (summary.input + summary.output).get(),
    }
}

/// Joins characters that were split between two parts.
#[derive(Debug, Default)]
struct Utf8 {
    rest: Vec<u8>,
}

impl Utf8 {
    fn push(&mut self, data: &[u8]) -> Result<String> {
        let mut bytes = std::mem::take(&mut self.rest);
        bytes.extend_from_slice(data);
        match String::from_utf8(bytes) {
            Ok(text) => Ok(text),
            Err(error) if error.utf8_error().error_len().is_none() => {
                let valid = error.utf8_error().valid_up_to();
                let mut bytes = error.into_bytes();
                self.rest = bytes.split_off(valid);
                String::from_utf8(bytes).map_err(|_error| not_text())
            }
            Err(_error) => Err(not_text()),
        }
    }

    fn finish(&self) -> Result<()> {
        if self.rest.is_empty() {
            Ok(())
        } else {
            Err(not_text())
        }
    }
}

fn not_text() -> Error {
    Error::new(Kind::EndpointFailed, "the answer is not UTF-8")
}
