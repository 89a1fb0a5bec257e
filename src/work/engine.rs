use std::{net::SocketAddr, time::Duration};

use awc::Client;
use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt, future::LocalBoxFuture, stream};
use serde::{Deserialize, Serialize};

use super::{Answer, Decoder, Endpoint, Job, Piece, Result, State};
use crate::{
    error::{Error, Executed, Kind},
    id::{Fence, Model},
    unit::{Share, Tokens},
    wire::{Change, Generate, Load, Message, Prompt, Role, Work},
};

/// Longest time for a load report.
const STATE_LIMIT: Duration = Duration::from_secs(2);
/// Longest time for a change, the same as for the order that asked for it.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);
/// Largest load report.
const STATE_MAX: usize = 256 << 10;
/// Longest time until the engine begins its answer. The deadline of the attempt is shorter.
const BEGIN_LIMIT: Duration = Duration::from_hours(1);

/// A model engine with an OpenAI-style interface.
#[derive(Clone)]
pub struct Engine {
    client: Client,
    address: SocketAddr,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Engine {
    /// A client of the engine at `address`. No connection is opened before the first job.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let client = Client::builder().timeout(BEGIN_LIMIT).finish();
        Self { client, address }
    }

    async fn begin(
        self,
        generate: Generate,
        priority: u8,
    ) -> Result<impl Stream<Item = Result<Piece>> + use<>> {
        let (path, body) = request(&generate, priority);
        let url = format!("http://{}{path}", self.address);
        let response = self
            .client
            .post(url)
            .send_json(&body)
            .await
            .map_err(|error| send_error(&error))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(refusal(status));
        }
        Ok(pieces(response))
    }

    async fn fetch_state(&self) -> Result<State> {
        let url = format!("http://{}/control/load", self.address);
        let request = self.client.get(url).timeout(STATE_LIMIT);
        let mut response = request.send().await.map_err(|error| send_error(&error))?;
        let report: EngineLoad = response.json().limit(STATE_MAX).await.map_err(|error| {
            Error::new(Kind::EndpointFailed, "the load report is not valid")
                .with_source(error.to_string())
        })?;
        Ok(report.into())
    }

    async fn send_change(&self, change: Change, fence: Fence) -> Result<()> {
        let (path, order) = match change {
            Change::Role(role) => (
                "role",
                EngineOrder {
                    role: Some(role),
                    ..EngineOrder::new(fence)
                },
            ),
            Change::Load(model) => (
                "models",
                EngineOrder {
                    load: Some(model),
                    ..EngineOrder::new(fence)
                },
            ),
            Change::Unload(model) => (
                "models",
                EngineOrder {
                    unload: Some(model),
                    ..EngineOrder::new(fence)
                },
            ),
            Change::Drain | Change::Resume => {
                return Err(Error::new(
                    Kind::BadRequest,
                    "the agent itself drains its endpoint",
                ));
            }
        };
        let url = format!("http://{}/control/{path}", self.address);
        let request = self.client.post(url).timeout(CHANGE_LIMIT);
        let response = request
            .send_json(&order)
            .await
            .map_err(|error| send_error(&error))?;
        if response.status().is_success() {
            return Ok(());
        }
        let detail = format!(
            "the engine refused the order with status {}",
            response.status()
        );
        Err(Error::new(Kind::EndpointFailed, detail))
    }
}

impl Endpoint for Engine {
    fn run(&self, job: Job) -> Answer {
        let Work::Generate(generate) = job.work else {
            let error = Error::new(Kind::BadRequest, "an engine runs no service operation");
            return stream::iter([Err(error.with_executed(Executed::No))]).boxed_local();
        };
        let begin = self.clone().begin(generate, job.priority);
        stream::once(begin).flat_map(flatten).boxed_local()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<State>> {
        self.fetch_state().boxed_local()
    }

    fn change(&self, change: Change, fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        self.send_change(change, fence).boxed_local()
    }
}

fn flatten(begun: Result<impl Stream<Item = Result<Piece>> + 'static>) -> Answer {
    match begun {
        Ok(pieces) => pieces.boxed_local(),
        Err(error) => stream::iter([Err(error)]).boxed_local(),
    }
}

/// Tells apart what certainly did not reach the endpoint from what may have.
pub(super) fn send_error(error: &awc::error::SendRequestError) -> Error {
    use awc::error::SendRequestError;

    let executed = match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Executed::No,
        _ => Executed::Unknown,
    };
    Error::new(Kind::EndpointLost, "the endpoint cannot be reached")
        .with_executed(executed)
        .with_source(error.to_string())
}

/// An engine that answers with an error status has not begun the answer.
fn refusal(status: u16) -> Error {
    let detail = format!("the engine answered with status {status}");
    let kind = match status {
        400 | 404 | 422 => Kind::BadRequest,
        503 => Kind::Leaving,
        _ => Kind::EndpointFailed,
    };
    Error::new(kind, detail).with_executed(Executed::No)
}

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

/// An order to an engine.
#[derive(Serialize)]
struct EngineOrder {
    fence: Fence,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    load: Option<Model>,
    #[serde(skip_serializing_if = "Option::is_none")]
    unload: Option<Model>,
}

impl EngineOrder {
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

fn request(generate: &Generate, priority: u8) -> (&'static str, EngineRequest<'_>) {
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

/// Reads the events of an answer.
#[derive(Default)]
struct Reader {
    decoder: Decoder,
    reason: Option<String>,
    usage: Usage,
    done: bool,
}

impl Reader {
    fn push(&mut self, bytes: &[u8]) -> Vec<Result<Piece>> {
        match self.decoder.push(bytes) {
            Ok(events) => events
                .iter()
                .filter_map(|event| self.event(event))
                .collect(),
            Err(error) => vec![Err(error)],
        }
    }

    fn event(&mut self, data: &str) -> Option<Result<Piece>> {
        if data == "[DONE]" {
            return self.end();
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
        (!text.is_empty()).then(|| Ok(Piece::Data(text.into_bytes())))
    }

    /// The mark `[DONE]` alone is no proof of a whole answer: the reason has to have come as well.
    fn end(&mut self) -> Option<Result<Piece>> {
        if std::mem::replace(&mut self.done, true) {
            return None;
        }
        Some(match self.reason.take() {
            Some(reason) => Ok(Piece::End {
                reason,
                status: 200,
                input: Tokens::new(self.usage.prompt_tokens),
                output: Tokens::new(self.usage.completion_tokens),
            }),
            None => Err(cut()),
        })
    }
}

fn cut() -> Error {
    Error::new(Kind::EndpointLost, "the engine broke off its answer")
}

/// Reads an answer to its end; a body that ends early becomes an error.
fn pieces<S, E>(body: S) -> impl Stream<Item = Result<Piece>> + use<S, E>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin + 'static,
    E: std::fmt::Display + 'static,
{
    let parts = stream::unfold(Some((body, Reader::default())), |state| async move {
        let (mut body, mut reader) = state?;
        match body.next().await {
            Some(Ok(bytes)) => {
                let pieces = reader.push(&bytes);
                let over = reader.done || pieces.iter().any(Result::is_err);
                Some((pieces, (!over).then_some((body, reader))))
            }
            Some(Err(error)) => Some((vec![Err(cut().with_source(error.to_string()))], None)),
            None => Some((vec![Err(cut())], None)),
        }
    });
    parts.flat_map(stream::iter)
}

/// Load report of an engine.
#[derive(Deserialize)]
struct EngineLoad {
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

impl From<EngineLoad> for State {
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
