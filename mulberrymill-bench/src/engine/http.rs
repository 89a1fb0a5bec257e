use std::{fmt::Write, sync::Arc, time::Duration};

use actix::prelude::*;
use actix_web::{HttpResponse, http::StatusCode, web};
use bytes::Bytes;
use futures_util::stream;
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
        Attach, Counts, Engine, Events, Export, Import, Inject, Load, Order, Piece, Submit,
        Subscription, stopped,
    },
    conversation,
};
use crate::port::Port;

/// Answer length if a request names none.
const DEFAULT_OUTPUT: u64 = 16;

/// Time in which the bytes before a break reach the client.
const FLUSH: Duration = Duration::from_millis(10);

/// Starts an engine stand-in on a free loopback port. Runs inside an actix system.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn bind(config: Config) -> crate::port::Result<Handle> {
    let engine = Engine::new(config).start();
    let data = web::Data::new(engine.clone());
    let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        routes(app.app_data(data.clone()));
    }))?;
    engine.do_send(Attach(port.clone()));
    let data = web::Data::new(engine.clone());
    let faults = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/control/tally", web::get().to(tally))
            .route("/fault", web::post().to(fault));
    }))?;
    Ok(Handle {
        engine,
        port,
        faults,
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

fn failure(error: &Error) -> HttpResponse {
    let kind = error.kind();
    let status = StatusCode::from_u16(kind.answer().status);
    HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)).json(json!({
        "error": {"kind": kind, "message": error.detail(), "executed": error.executed()},
    }))
}

async fn ask<M>(engine: &Addr<Engine>, message: M) -> Result<M::Result>
where
    M: Message + Send + 'static,
    M::Result: Send,
    Engine: Handler<M>,
{
    engine.send(message).await.map_err(|_error| stopped())
}

#[derive(Deserialize)]
struct Request {
    model: id::Model,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Turn>,
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
struct Turn {
    role: String,
    content: String,
}

/// The two request forms, which differ in the place of the text only.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Form {
    Completion,
    Chat,
}

impl Form {
    fn choice(self, text: &str, end: &str, streamed: bool) -> serde_json::Value {
        match (self, streamed) {
            (Self::Completion, _) => json!({"index": 0, "text": text, "finish_reason": end}),
            (Self::Chat, true) => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": end})
            }
            (Self::Chat, false) => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": end,
            }),
        }
    }

    const fn object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion",
        }
    }

    /// Appends the event of one token. It is written by hand because streams consist of little
    /// else; the text has only letters and spaces, so that nothing needs an escape.
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

    fn last(self, text: &str, usage: (Tokens, Tokens), streamed: bool) -> serde_json::Value {
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
    answer(&engine, request, prompt, Form::Completion).await
}

async fn chat(engine: Data, body: web::Json<Request>) -> HttpResponse {
    let request = body.into_inner();
    let messages = request.messages.iter();
    let prompt = conversation(messages.map(|one| (one.role.as_str(), one.content.as_str())));
    answer(&engine, request, prompt, Form::Chat).await
}

async fn answer(engine: &Data, request: Request, prompt: String, form: Form) -> HttpResponse {
    let output = request.max_tokens.or(request.max_completion_tokens);
    let work = Generate {
        model: request.model,
        prompt,
        output: Tokens::new(output.unwrap_or(DEFAULT_OUTPUT)),
        resume: unit::Bytes::new(request.resume_offset),
        priority: request.priority,
    };
    match ask(engine, Submit(work)).await.and_then(|result| result) {
        Ok(pieces) if request.stream => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(events_of(pieces, form)),
        Ok(pieces) => whole(pieces, form).await,
        Err(error) => failure(&error),
    }
}

async fn whole(mut answer: Subscription, form: Form) -> HttpResponse {
    let mut text = String::new();
    while let Some(piece) = answer.pieces.recv().await {
        match piece {
            Piece::Text(more) => text.push_str(&more),
            Piece::End(prompt, tokens) => {
                return HttpResponse::Ok().json(form.last(&text, (prompt, tokens), false));
            }
        }
    }
    // A body that fails closes the connection before the answer is complete.
    HttpResponse::Ok().streaming(stream::once(async { Err::<Bytes, _>(broken()) }))
}

fn broken() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::ConnectionReset)
}

/// Server-sent events of an answer; events that are ready together share one write.
fn events_of(
    answer: Subscription,
    form: Form,
) -> impl futures_util::Stream<Item = std::io::Result<Bytes>> {
    stream::unfold(Some(answer), move |state| async move {
        let mut answer = state?;
        let mut out = String::new();
        let mut next = answer.pieces.recv().await;
        loop {
            match next {
                Some(Piece::Text(text)) => form.event(&text, &mut out),
                Some(Piece::End(prompt, tokens)) => {
                    let last = form.last("", (prompt, tokens), true);
                    let _infallible = write!(out, "data: {last}\n\ndata: [DONE]\n\n");
                    return Some((Ok(Bytes::from(out)), None));
                }
                None => {
                    // The failure of a body discards what was not flushed yet.
                    actix_rt::time::sleep(FLUSH).await;
                    return Some((Err(broken()), None));
                }
            }
            // A closed channel is seen by the next call, after these events were written.
            match answer.pieces.try_recv() {
                Ok(piece) => next = Some(piece),
                Err(_empty) => return Some((Ok(Bytes::from(out)), Some(answer))),
            }
        }
    })
}

async fn models(engine: Data) -> HttpResponse {
    match ask(&engine, Load).await {
        Ok((report, _)) => {
            let list = report.models.iter();
            let list: Vec<_> = list
                .map(|id| json!({"id": id, "object": "model"}))
                .collect();
            HttpResponse::Ok().json(json!({"object": "list", "data": list}))
        }
        Err(error) => failure(&error),
    }
}

async fn load(engine: Data) -> HttpResponse {
    match ask(&engine, Load).await {
        Ok((report, age)) => HttpResponse::Ok().json(json!({
            "running": report.running,
            "waiting": report.waiting,
            "prefill_tokens": report.prefill.get(),
            "decoding": report.decoding,
            "cache": report.cache.get(),
            "role": report.role,
            "models": report.models,
            "draining": report.draining,
            "age_ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })),
        Err(error) => failure(&error),
    }
}

async fn order(engine: &Data, change: Change, fence: Option<Fence>) -> HttpResponse {
    let result = ask(engine, Order(change, fence)).await;
    match result.and_then(|result| result) {
        Ok(()) => HttpResponse::Ok().json(json!({"applied": true})),
        Err(error) => failure(&error),
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
        _ => failure(&Error::new(Kind::BadRequest, "name one of load and unload")),
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
struct Prefix {
    model: id::Model,
    prompt: String,
}

async fn export(engine: Data, body: web::Json<Prefix>) -> HttpResponse {
    let Prefix { model, prompt } = body.into_inner();
    match ask(&engine, Export(model, prompt)).await {
        Ok(blocks) => HttpResponse::Ok().json(json!({"blocks": blocks})),
        Err(error) => failure(&error),
    }
}

#[derive(Deserialize)]
struct Blocks {
    blocks: Vec<Block>,
}

async fn import(engine: Data, body: web::Json<Blocks>) -> HttpResponse {
    match ask(&engine, Import(body.into_inner().blocks)).await {
        Ok(cached) => HttpResponse::Ok().json(json!({"cached": cached})),
        Err(error) => failure(&error),
    }
}

#[derive(Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn events(engine: Data, query: web::Query<Since>) -> HttpResponse {
    match ask(&engine, Events(query.since)).await {
        Ok(events) => HttpResponse::Ok().json(json!({"events": events})),
        Err(error) => failure(&error),
    }
}

async fn tally(engine: Data) -> HttpResponse {
    match ask(&engine, Counts).await {
        Ok(tally) => HttpResponse::Ok().json(tally),
        Err(error) => failure(&error),
    }
}

async fn fault(engine: Data, body: web::Json<Fault>) -> HttpResponse {
    let result = ask(&engine, Inject(body.into_inner())).await;
    match result.and_then(|result| result) {
        Ok(()) => HttpResponse::Ok().json(json!({"injected": true})),
        Err(error) => failure(&error),
    }
}
