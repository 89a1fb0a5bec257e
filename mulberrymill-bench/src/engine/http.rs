use std::{fmt::Write, sync::Arc, time::Duration};

use actix::prelude::*;
use actix_web::{
    HttpResponse,
    dev::Service as _,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue, RETRY_AFTER},
    },
    web,
};
use bytes::Bytes;
use futures_util::{TryFutureExt as _, stream};
use mulberrymill::{
    error::{Error, Kind},
    id::{self, Fence},
    unit::{self, Tokens},
    wire::{Change, Role},
};
use serde::Deserialize;
use serde_json::json;

use super::{
    Block, Config, Fault, Generate, Handle, Result,
    actor::{
        AnswerPart, AttachPort, Engine, Events, Export, GetTally, Import, InjectFault, Load, Order,
        Submit, Subscription, stopped_error,
    },
    conversation,
};
use crate::port::Port;

/// Answer length of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// Header of all answers of an engine that leaves.
const ENDPOINT_LEAVING: HeaderName = HeaderName::from_static("endpoint-leaving");

/// Delay of an injected break, so that the bytes before it reach the client.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Starts an engine stand-in on two free loopback ports, for the API and for faults. Has to be
/// called inside an actix system.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn bind(config: Config) -> crate::port::Result<Handle> {
    let engine = Engine::new(config);
    let says_leaving = engine.says_leaving();
    let engine = engine.start();
    let data = web::Data::new(engine.clone());
    let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        let says_leaving = says_leaving.clone();
        let announced = web::scope("").wrap_fn(move |request, service| {
            let leaving = *says_leaving.borrow();
            service.call(request).map_ok(move |mut response| {
                if leaving {
                    let headers = response.headers_mut();
                    headers.insert(ENDPOINT_LEAVING, HeaderValue::from_static("1"));
                }
                response
            })
        });
        let data = data.clone();
        app.service(announced.configure(move |app| routes(app.app_data(data))));
    }))?;
    engine.do_send(AttachPort(port.clone()));
    let data = web::Data::new(engine.clone());
    let fault_port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/control/tally", web::get().to(tally))
            .route("/fault", web::post().to(fault));
    }))?;
    Ok(Handle {
        engine,
        port,
        fault_port,
    })
}

type Data = web::Data<Addr<Engine>>;

fn routes(app: &mut web::ServiceConfig) {
    app.route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models))
        .route("/control/load", web::get().to(load))
        .route("/control/role", web::post().to(role))
        .route("/control/models", web::post().to(change_models))
        .route("/control/drain", web::post().to(drain))
        .route("/control/kv/export", web::post().to(export))
        .route("/control/kv/import", web::post().to(import))
        .route("/control/events", web::get().to(events))
        .route("/control/tally", web::get().to(tally))
        .route("/fault", web::post().to(fault));
}

fn error_response(error: &Error) -> HttpResponse {
    let kind = error.kind();
    let status = StatusCode::from_u16(kind.answer().status);
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(pause) = error.retry_after().filter(|_| kind == Kind::Paused) {
        response.insert_header((RETRY_AFTER, pause.as_secs()));
    }
    response.json(json!({
        "error": {"kind": kind, "message": error.detail(), "executed": error.executed()},
    }))
}

async fn send<M>(engine: &Addr<Engine>, message: M) -> Result<M::Result>
where
    M: Message + Send + 'static,
    M::Result: Send,
    Engine: Handler<M>,
{
    engine.send(message).await.map_err(|_error| stopped_error())
}

#[derive(Deserialize)]
struct Request {
    model: id::Model,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_offset: u64,
    #[serde(default)]
    priority: u8,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// API of a request. The formats differ only in the fields that contain the text.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ApiFormat {
    Completion,
    Chat,
}

impl ApiFormat {
    fn choice(self, text: &str, finish_reason: &str, streamed: bool) -> serde_json::Value {
        match (self, streamed) {
            (Self::Completion, _) => {
                json!({"index": 0, "text": text, "finish_reason": finish_reason})
            }
            (Self::Chat, true) => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
            }
            (Self::Chat, false) => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
        }
    }

    const fn object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion",
        }
    }

    /// Appends the server-sent event of a token. Most of a stream consists of these events, so they
    /// are formatted without a serializer; letters and spaces need no escape.
    fn event(self, text: &str, out: &mut String) {
        let (open, close) = match self {
            Self::Completion => ("\"text\":\"", "\""),
            Self::Chat => ("\"delta\":{\"content\":\"", "\"}"),
        };
        let object = self.object();
        let _infallible = write!(
            out,
            "data: {{\"object\":\"{object}\",\"choices\":[{{\"index\":0,{open}{text}{close},\
             \"finish_reason\":null}}]}}\n\n"
        );
    }

    fn final_object(
        self,
        text: &str,
        usage: (Tokens, Tokens),
        streamed: bool,
    ) -> serde_json::Value {
        json!({
            "object": self.object(),
            "choices": [self.choice(text, "length", streamed)],
            "usage": {
                "prompt_tokens": usage.0.get(),
                "completion_tokens": usage.1.get(),
                "total_tokens": usage.0.get() + usage.1.get(),
            },
        })
    }
}

async fn complete(engine: Data, body: web::Json<Request>) -> HttpResponse {
    let request = body.into_inner();
    let prompt = request.prompt.clone();
    respond(&engine, request, prompt, ApiFormat::Completion).await
}

async fn chat(engine: Data, body: web::Json<Request>) -> HttpResponse {
    let request = body.into_inner();
    let messages = request.messages.iter();
    let prompt =
        conversation(messages.map(|message| (message.role.as_str(), message.content.as_str())));
    respond(&engine, request, prompt, ApiFormat::Chat).await
}

async fn respond(
    engine: &Data,
    request: Request,
    prompt: String,
    format: ApiFormat,
) -> HttpResponse {
    let output = request.max_tokens.or(request.max_completion_tokens);
    let work = Generate {
        model: request.model,
        prompt,
        output: Tokens::new(output.unwrap_or(DEFAULT_OUTPUT_TOKENS)),
        resume: unit::Bytes::new(request.resume_offset),
        priority: request.priority,
    };
    match send(engine, Submit(work)).await.and_then(|result| result) {
        Ok(parts) if request.stream => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(event_stream(parts, format)),
        Ok(parts) => complete_answer(parts, format).await,
        Err(error) => error_response(&error),
    }
}

async fn complete_answer(mut answer: Subscription, format: ApiFormat) -> HttpResponse {
    let mut text = String::new();
    while let Some(part) = answer.parts.recv().await {
        match part {
            AnswerPart::Text(more) => text.push_str(&more),
            AnswerPart::End(prompt, tokens) => {
                return HttpResponse::Ok().json(format.final_object(
                    &text,
                    (prompt, tokens),
                    false,
                ));
            }
        }
    }
    // A body error closes the connection before the answer is complete.
    HttpResponse::Ok().streaming(stream::once(async { Err::<Bytes, _>(connection_reset()) }))
}

fn connection_reset() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::ConnectionReset)
}

/// Server-sent events of an answer; available events are combined to one write.
fn event_stream(
    answer: Subscription,
    format: ApiFormat,
) -> impl futures_util::Stream<Item = std::io::Result<Bytes>> {
    stream::unfold(Some(answer), move |state| async move {
        let mut answer = state?;
        let mut out = String::new();
        let mut next = answer.parts.recv().await;
        loop {
            match next {
                Some(AnswerPart::Text(text)) => format.event(&text, &mut out),
                Some(AnswerPart::End(prompt, tokens)) => {
                    let final_event = format.final_object("", (prompt, tokens), true);
                    let _infallible = write!(out, "data: {final_event}\n\ndata: [DONE]\n\n");
                    return Some((Ok(Bytes::from(out)), None));
                }
                None => {
                    // A body error discards bytes that are not flushed yet.
                    actix_rt::time::sleep(FLUSH_DELAY).await;
                    return Some((Err(connection_reset()), None));
                }
            }
            // The next call detects a closed channel, after these events are written.
            match answer.parts.try_recv() {
                Ok(part) => next = Some(part),
                Err(_empty) => return Some((Ok(Bytes::from(out)), Some(answer))),
            }
        }
    })
}

async fn models(engine: Data) -> HttpResponse {
    match send(&engine, Load).await {
        Ok((report, _)) => {
            let list = report.models.iter();
            let list: Vec<_> = list
                .map(|id| json!({"id": id, "object": "model"}))
                .collect();
            HttpResponse::Ok().json(json!({"object": "list", "data": list}))
        }
        Err(error) => error_response(&error),
    }
}

async fn load(engine: Data) -> HttpResponse {
    let (tally, load) = match (send(&engine, GetTally).await, send(&engine, Load).await) {
        (Ok(tally), Ok(load)) => (tally, load),
        (Err(error), _) | (_, Err(error)) => return error_response(&error),
    };
    let (report, age) = load;
    HttpResponse::Ok().json(json!({
        // A number of the run stands in for the time of its start.
        "started": tally.crashes,
        "running": report.running,
        "waiting": report.waiting,
        "prefill_tokens": report.prefill.get(),
        "decoding": report.decoding,
        "cache": report.cache.get(),
        "role": report.role,
        "models": report.models,
        "draining": report.draining,
        "age_ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }))
}

async fn order(engine: &Data, change: Change, fence: Option<Fence>) -> HttpResponse {
    let result = send(engine, Order(change, fence)).await;
    match result.and_then(|result| result) {
        Ok(()) => HttpResponse::Ok().json(json!({"applied": true})),
        Err(error) => error_response(&error),
    }
}

#[derive(Deserialize)]
struct RoleOrder {
    role: Role,
    fence: Option<Fence>,
}

async fn role(engine: Data, body: web::Json<RoleOrder>) -> HttpResponse {
    order(&engine, Change::Role(body.role), body.fence).await
}

#[derive(Deserialize)]
struct ModelOrder {
    load: Option<id::Model>,
    unload: Option<id::Model>,
    fence: Option<Fence>,
}

async fn change_models(engine: Data, body: web::Json<ModelOrder>) -> HttpResponse {
    let body = body.into_inner();
    match (body.load, body.unload) {
        (Some(model), None) => order(&engine, Change::Load(model), body.fence).await,
        (None, Some(model)) => order(&engine, Change::Unload(model), body.fence).await,
        _ => error_response(&Error::new(Kind::BadRequest, "name one of load and unload")),
    }
}

#[derive(Deserialize)]
struct DrainOrder {
    drain: bool,
    fence: Option<Fence>,
}

async fn drain(engine: Data, body: web::Json<DrainOrder>) -> HttpResponse {
    let change = if body.drain {
        Change::Drain
    } else {
        Change::Resume
    };
    order(&engine, change, body.fence).await
}

#[derive(Deserialize)]
struct ExportRequest {
    model: id::Model,
    prompt: String,
}

async fn export(engine: Data, body: web::Json<ExportRequest>) -> HttpResponse {
    let ExportRequest { model, prompt } = body.into_inner();
    match send(&engine, Export(model, prompt)).await {
        Ok(blocks) => HttpResponse::Ok().json(json!({"blocks": blocks})),
        Err(error) => error_response(&error),
    }
}

#[derive(Deserialize)]
struct ImportRequest {
    blocks: Vec<Block>,
}

async fn import(engine: Data, body: web::Json<ImportRequest>) -> HttpResponse {
    match send(&engine, Import(body.into_inner().blocks)).await {
        Ok(cached) => HttpResponse::Ok().json(json!({"cached": cached})),
        Err(error) => error_response(&error),
    }
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    since: u64,
}

async fn events(engine: Data, query: web::Query<EventsQuery>) -> HttpResponse {
    match send(&engine, Events(query.since)).await {
        Ok(events) => HttpResponse::Ok().json(json!({"events": events})),
        Err(error) => error_response(&error),
    }
}

async fn tally(engine: Data) -> HttpResponse {
    match send(&engine, GetTally).await {
        Ok(tally) => HttpResponse::Ok().json(tally),
        Err(error) => error_response(&error),
    }
}

async fn fault(engine: Data, body: web::Json<Fault>) -> HttpResponse {
    let result = send(&engine, InjectFault(body.into_inner())).await;
    match result.and_then(|result| result) {
        Ok(()) => HttpResponse::Ok().json(json!({"injected": true})),
        Err(error) => error_response(&error),
    }
}
