use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt, future::LocalBoxFuture, stream};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

use super::{
    Decoder, EndpointClient, EndpointState, Job, ResponsePart, ResponseStream, Result, http::Http,
};
use crate::{
    clock::Shared,
    directory::Started,
    error::{Error, Executed, Kind},
    id::{Fence, Model},
    notice::Closure,
    unit::{Share, Tokens},
    upstream::{self, Body},
    wire::{Change, Generate, Load, Message, Prompt, Role, Work},
};

/// Timeout of a load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a role or model change, equal to that of the order that requests it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of a model engine with an OpenAI-compatible API.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Http,
}

impl EngineClient {
    /// Creates a client of the engine at `address`. It connects with its first request.
    #[must_use]
    pub fn open(address: SocketAddr, clock: Shared) -> Self {
        Self {
            http: Http::new(address, clock),
        }
    }

    async fn start_response(
        self,
        generate: Generate,
        priority: u8,
    ) -> Result<impl Stream<Item = Result<ResponsePart>> + use<>> {
        let (path, request) = completion_request(&generate, priority);
        let response = self.http.post_json(path, &request).await?;
        let status = response.head.status.as_u16();
        if status != 200 {
            return Err(status_error(status));
        }
        Ok(decode_body(into_chunks(response.body)))
    }

    async fn fetch_state(&self) -> Result<EndpointState> {
        let report = self.http.get_json("/control/load", LOAD_REPORT_TIMEOUT);
        let report: EngineLoad = report.await?;
        self.http.set_run(report.started.map(Started::from_millis));
        Ok(report.into())
    }

    async fn send_change(&self, change: Change, fence: Fence) -> Result<()> {
        let (path, body) = match change {
            Change::Role(role) => (
                "role",
                ControlRequest {
                    role: Some(role),
                    ..ControlRequest::new(fence)
                },
            ),
            Change::Load(model) => (
                "models",
                ControlRequest {
                    load: Some(model),
                    ..ControlRequest::new(fence)
                },
            ),
            Change::Unload(model) => (
                "models",
                ControlRequest {
                    unload: Some(model),
                    ..ControlRequest::new(fence)
                },
            ),
            Change::Drain | Change::Resume => {
                return Err(Error::new(
                    Kind::BadRequest,
                    "the agent itself drains its endpoint",
                ));
            }
        };
        let path = format!("/control/{path}");
        let sent = time::timeout(CHANGE_TIMEOUT, self.http.control_json(&path, &body)).await;
        let response = sent
            .unwrap_or_else(|_elapsed| Err(Error::new(Kind::EndpointLost, "no answer in time")))?;
        let status = response.head.status;
        if status.is_success() {
            return Ok(());
        }
        let detail = format!("the engine refused the order with status {status}");
        Err(Error::new(Kind::EndpointFailed, detail))
    }
}

impl EndpointClient for EngineClient {
    fn run(&self, job: Job) -> ResponseStream {
        let Work::Generate(generate) = job.work else {
            let error = Error::new(Kind::BadRequest, "an engine runs no service operation");
            return stream::iter([Err(error.with_executed(Executed::No))]).boxed_local();
        };
        let response = self.clone().start_response(generate, job.priority);
        stream::once(response).flat_map(into_stream).boxed_local()
    }

    fn closure(&self) -> watch::Receiver<Closure> {
        self.http.closure()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<EndpointState>> {
        self.fetch_state().boxed_local()
    }

    fn change(&self, change: Change, fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        self.send_change(change, fence).boxed_local()
    }
}

fn into_stream(
    started: Result<impl Stream<Item = Result<ResponsePart>> + 'static>,
) -> ResponseStream {
    match started {
        Ok(parts) => parts.boxed_local(),
        Err(error) => stream::iter([Err(error)]).boxed_local(),
    }
}

/// The chunks of a body, until its end or its first error.
fn into_chunks(body: Body) -> impl Stream<Item = upstream::Result<Bytes>> + Unpin + 'static {
    let chunks = stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        match body.next().await {
            Ok(chunk) => chunk.map(|chunk| (Ok(chunk), Some(body))),
            Err(error) => Some((Err(error), None)),
        }
    });
    chunks.boxed_local()
}

/// Maps an error status. An engine that responds with one has not started the generation.
fn status_error(status: u16) -> Error {
    let detail = format!("the engine answered with status {status}");
    let kind = match status {
        400 | 404 | 422 => Kind::BadRequest,
        503 => Kind::Leaving,
        _ => Kind::EndpointFailed,
    };
    Error::new(kind, detail).with_executed(Executed::No)
}

/// Body of a completion request.
#[derive(Serialize)]
struct EngineRequest<'a> {
    model: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<&'a [Message]>,
    max_tokens: u64,
    stream: bool,
    stream_options: StreamOptions,
    priority: u8,
    #[serde(skip_serializing_if = "is_zero")]
    resume_offset: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    temperature: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    top_p: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    seed: Option<u64>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    stop: &'a [String],
}

/// Body of a role or model change.
#[derive(Serialize)]
struct ControlRequest {
    fence: Fence,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    load: Option<Model>,
    #[serde(skip_serializing_if = "Option::is_none")]
    unload: Option<Model>,
}

impl ControlRequest {
    const fn new(fence: Fence) -> Self {
        Self {
            fence,
            role: None,
            load: None,
            unload: None,
        }
    }
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Path and body of a completion request.
fn completion_request(generate: &Generate, priority: u8) -> (&'static str, EngineRequest<'_>) {
    let (path, prompt, messages) = match &generate.prompt {
        Prompt::Text(text) => ("/v1/completions", Some(text.as_str()), None),
        Prompt::Chat(messages) => ("/v1/chat/completions", None, Some(messages.as_slice())),
    };
    let model = match &generate.adapter {
        Some(adapter) => format!("{}:{adapter}", generate.model),
        None => generate.model.to_string(),
    };
    let body = EngineRequest {
        model,
        prompt,
        messages,
        max_tokens: generate.max_output.get(),
        stream: true,
        stream_options: StreamOptions {
            include_usage: true,
        },
        priority,
        resume_offset: generate.resume.get(),
        temperature: generate.sampling.temperature,
        top_p: generate.sampling.top_p,
        seed: generate.sampling.seed,
        stop: &generate.sampling.stop,
    };
    (path, body)
}

#[derive(Deserialize)]
struct EngineChunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize, Clone, Copy, Default)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Decodes the event stream of a completion.
#[derive(Default)]
struct EventReader {
    decoder: Decoder,
    reason: Option<String>,
    usage: Usage,
    done: bool,
}

impl EventReader {
    fn push(&mut self, bytes: &[u8]) -> Vec<Result<ResponsePart>> {
        match self.decoder.push(bytes) {
            Ok(events) => events
                .iter()
                .filter_map(|event| self.decode_event(event))
                .collect(),
            Err(error) => vec![Err(error)],
        }
    }

    fn decode_event(&mut self, data: &str) -> Option<Result<ResponsePart>> {
        if data == "[DONE]" {
            return self.finish();
        }
        let chunk: EngineChunk = match serde_json::from_str(data) {
            Ok(chunk) => chunk,
            Err(error) => {
                let failed = Error::new(Kind::EndpointFailed, "the engine sent an invalid event");
                return Some(Err(failed.with_source(error.to_string())));
            }
        };
        self.usage = chunk.usage.unwrap_or(self.usage);
        let choice = chunk.choices.into_iter().next()?;
        self.reason = choice.finish_reason.or_else(|| self.reason.take());
        let text = choice
            .text
            .or_else(|| choice.delta.and_then(|delta| delta.content))?;
        (!text.is_empty()).then(|| Ok(ResponsePart::Data(text.into_bytes())))
    }

    /// Ends the response. `[DONE]` alone does not prove that it is complete: the finish reason has
    /// to have arrived as well.
    fn finish(&mut self) -> Option<Result<ResponsePart>> {
        if std::mem::replace(&mut self.done, true) {
            return None;
        }
        Some(match self.reason.take() {
            Some(reason) => Ok(ResponsePart::End {
                reason,
                status: 200,
                input: Tokens::new(self.usage.prompt_tokens),
                output: Tokens::new(self.usage.completion_tokens),
            }),
            None => Err(truncated()),
        })
    }
}

fn truncated() -> Error {
    Error::new(Kind::EndpointLost, "the engine broke off its answer")
}

/// Decodes the body of a completion. A body that ends early yields an error.
fn decode_body<S, E>(body: S) -> impl Stream<Item = Result<ResponsePart>> + use<S, E>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin + 'static,
    E: std::fmt::Display + 'static,
{
    let parts = stream::unfold(Some((body, EventReader::default())), |state| async move {
        let (mut body, mut reader) = state?;
        match body.next().await {
            Some(Ok(bytes)) => {
                let parts = reader.push(&bytes);
                let finished = reader.done || parts.iter().any(Result::is_err);
                Some((parts, (!finished).then_some((body, reader))))
            }
            Some(Err(error)) => Some((vec![Err(truncated().with_source(error.to_string()))], None)),
            None => Some((vec![Err(truncated())], None)),
        }
    });
    parts.flat_map(stream::iter)
}

/// Load report of an engine.
#[derive(Deserialize)]
struct EngineLoad {
    /// Unix time of the start of this run, in milliseconds.
    started: Option<u64>,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    prefill_tokens: u64,
    #[serde(default)]
    decoding: u32,
    #[serde(default)]
    cache: f64,
    #[serde(default)]
    role: Role,
    #[serde(default)]
    models: Vec<Model>,
    #[serde(default)]
    draining: bool,
}

impl From<EngineLoad> for EndpointState {
    fn from(report: EngineLoad) -> Self {
        Self {
            load: Load {
                in_progress: 0,
                waiting: report.waiting,
                prefill: Tokens::new(report.prefill_tokens),
                decoding: report.decoding,
                cache: Share::new(report.cache),
            },
            role: report.role,
            models: report.models,
            draining: report.draining,
        }
    }
}
