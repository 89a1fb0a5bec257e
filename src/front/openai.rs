use actix_web::{HttpRequest, HttpResponse, web};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Result, auth, estimate, imp::Context, problem, receive, stream};
use crate::{
    config::{CallerSpec, ClassSpec, Document},
    error::{Error, Kind},
    id::{self, Caller, Class, Model},
    relay::{LatencyTargets, Request},
    routing::{Cost, Pool},
    unit::Tokens,
    wire::{Generate, Message, Prompt, Sampling, Work},
};

/// Default of `max_tokens`.
const DEFAULT_OUTPUT: Tokens = Tokens::new(512);

/// Request body of a completion or chat completion.
///
/// Unsupported parameters are rejected with an error that names them, rather than ignored.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    temperature: Option<f32>,
    top_p: Option<f32>,
    seed: Option<u64>,
    stop: Option<Stop>,
    service_tier: Option<String>,
    n: Option<u32>,
    /// Accepted because common clients send it; neither used nor logged.
    #[serde(rename = "user")]
    _user: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Stop {
    One(String),
    Many(Vec<String>),
}

/// The API of a request: `/v1/completions` or `/v1/chat/completions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Style {
    Text,
    Chat,
}

/// Parameters of a request that determine the format of its answer.
#[derive(Clone, Debug)]
pub(super) struct Format {
    pub(super) style: Style,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    pub(super) model: String,
    pub(super) class: Class,
    /// Seconds since the Unix epoch.
    pub(super) created: u64,
}

pub(super) async fn completions(
    context: web::Data<Context>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    answer(&context, &request, payload, Style::Text).await
}

pub(super) async fn chat(
    context: web::Data<Context>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    answer(&context, &request, payload, Style::Chat).await
}

async fn answer(
    context: &Context,
    request: &HttpRequest,
    payload: web::Payload,
    style: Style,
) -> HttpResponse {
    match prepare(context, request, payload, style).await {
        Ok((request, format)) => stream::respond(context.relay.new_exchange(request), format).await,
        Err(error) => problem::respond(&error),
    }
}

async fn prepare(
    context: &Context,
    request: &HttpRequest,
    payload: web::Payload,
    style: Style,
) -> Result<(Request, Format)> {
    let document = context.document()?;
    let (caller, spec) = auth::authenticate(&document, auth::bearer_key(request.headers())?)?;
    let body = receive::read_body(payload, document.limits.body).await?;
    let body: CompletionBody = receive::json(&body)?;
    let (class, class_spec) = choose_class(&document, spec, body.service_tier.as_deref())?;
    let format = Format {
        style,
        stream: body.stream,
        include_usage: body
            .stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage),
        model: body.model.clone(),
        class: class.clone(),
        created: context.seconds_since_epoch(),
    };
    let generate = engine_request(&document, style, body)?;
    Ok((
        relay_request(context, &document, caller, (class, class_spec), generate),
        format,
    ))
}

fn relay_request(
    context: &Context,
    document: &Document,
    caller: &Caller,
    (class, spec): (&Class, &ClassSpec),
    generate: Generate,
) -> Request {
    let now = context.clock.now();
    Request {
        id: id::Request::random(&mut rand::rng()),
        caller: caller.clone(),
        class: class.clone(),
        priority: spec.rank,
        pool: Pool::Model(generate.model.clone()),
        cost: Cost {
            input: estimate::tokens(&generate.prompt),
            output: generate.max_output,
        },
        prefix: estimate::prefix(&generate.prompt),
        work: Work::Generate(generate),
        admission_deadline: now + spec.first_token,
        response_deadline: now + document.limits.longest,
        target: LatencyTargets {
            first_part: spec.first_token,
            whole_response: spec.whole,
        },
    }
}

/// Returns the class named by `service_tier`. The default is the first class of the caller.
fn choose_class<'a>(
    document: &'a Document,
    caller: &'a CallerSpec,
    tier: Option<&str>,
) -> Result<(&'a Class, &'a ClassSpec)> {
    let class = match tier {
        None | Some("auto" | "default") => caller.classes.first(),
        Some(name) => caller.classes.iter().find(|class| class.as_str() == name),
    };
    let class = class.ok_or_else(|| {
        Error::new(
            Kind::Forbidden,
            "the caller may not use the class named in service_tier",
        )
    })?;
    let spec = document.classes.get(class);
    Ok((
        class,
        spec.ok_or_else(|| Error::new(Kind::Internal, "a class has no specification"))?,
    ))
}

fn engine_request(document: &Document, style: Style, body: CompletionBody) -> Result<Generate> {
    let (model, adapter) = choose_model(document, &body.model)?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(Error::new(Kind::BadRequest, "n has to be 1"));
    }
    let max_output = output_limit(document, &body)?;
    let prompt = prompt(style, body.prompt, body.messages)?;
    let context = document
        .models
        .get(&model)
        .map_or(Tokens::ZERO, |spec| spec.context);
    if estimate::tokens(&prompt) > context {
        return Err(Error::new(
            Kind::TooLarge,
            format!("the prompt is larger than {context}"),
        ));
    }
    Ok(Generate {
        model,
        adapter,
        prompt,
        max_output,
        resume: crate::unit::Bytes::ZERO,
        sampling: Sampling {
            temperature: body.temperature,
            top_p: body.top_p,
            // An attempt that resumes on another engine must sample the same tokens.
            seed: body
                .seed
                .or_else(|| Some(rand::rng().random::<u32>().into())),
            stop: match body.stop {
                None => Vec::new(),
                Some(Stop::One(stop)) => vec![stop],
                Some(Stop::Many(stops)) => stops,
            },
        },
    })
}

fn choose_model(document: &Document, name: &str) -> Result<(Model, Option<String>)> {
    let unknown = || Error::new(Kind::NotFound, "there is no such model");
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter.to_owned())),
        None => (name, None),
    };
    let model: Model = model.parse().map_err(|_error| unknown())?;
    let spec = document.models.get(&model).ok_or_else(unknown)?;
    match &adapter {
        Some(adapter) if !spec.adapters.contains(adapter) => Err(unknown()),
        _ => Ok((model, adapter)),
    }
}

fn output_limit(document: &Document, body: &CompletionBody) -> Result<Tokens> {
    let limit = document.limits.max_output;
    match body
        .max_completion_tokens
        .or(body.max_tokens)
        .map(Tokens::new)
    {
        None => Ok(DEFAULT_OUTPUT.min(limit)),
        Some(Tokens::ZERO) => Err(Error::new(Kind::BadRequest, "max_tokens has to be above 0")),
        Some(requested) if requested > limit => Err(Error::new(
            Kind::BadRequest,
            format!("max_tokens is above the limit of {limit}"),
        )),
        Some(requested) => Ok(requested),
    }
}

fn prompt(style: Style, text: Option<String>, messages: Option<Vec<Message>>) -> Result<Prompt> {
    match (style, text, messages) {
        (Style::Text, Some(text), None) if !text.is_empty() => Ok(Prompt::Text(text)),
        (Style::Chat, None, Some(messages)) if !messages.is_empty() => Ok(Prompt::Chat(messages)),
        (Style::Text, ..) => Err(Error::new(
            Kind::BadRequest,
            "send a prompt, and no messages",
        )),
        (Style::Chat, ..) => Err(Error::new(Kind::BadRequest, "send messages, and no prompt")),
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelCard>,
}

#[derive(Serialize)]
struct ModelCard {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

pub(super) async fn models(context: web::Data<Context>, request: HttpRequest) -> HttpResponse {
    match list_models(&context, &request) {
        Ok(list) => HttpResponse::Ok().json(list),
        Err(error) => problem::respond(&error),
    }
}

fn list_models(context: &Context, request: &HttpRequest) -> Result<ModelList> {
    let document = context.document()?;
    auth::authenticate(&document, auth::bearer_key(request.headers())?)?;
    let card = |id: String| ModelCard {
        id,
        object: "model",
        created: 0,
        owned_by: "operator",
    };
    let data = document.models.iter().flat_map(|(model, spec)| {
        let adapters = spec
            .adapters
            .iter()
            .map(move |adapter| format!("{model}:{adapter}"));
        std::iter::once(model.to_string()).chain(adapters).map(card)
    });
    Ok(ModelList {
        object: "list",
        data: data.collect(),
    })
}
