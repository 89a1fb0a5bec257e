use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        StatusCode,
        header::{self, HeaderValue},
    },
    web,
};
use serde::Serialize;

use super::{Result, auth, imp::Context, problem, receive};
use crate::{
    config::{Document, OperationSpec},
    error::{Error, Executed, Kind},
    id::{self, Caller, Endpoint, Key, Operation, Service},
    link,
    relay::{Exchange, LatencyTargets, Request, ResponsePart},
    routing::{Cost, Pool, Prefix},
    wire::{Invoke, Lookup, Outcome, Recorded, Work},
};

/// Request header with the idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";
/// Media type of a body without a valid `Content-Type` header.
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

/// Handles a call of a service operation.
pub(super) async fn invoke(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let (service, operation) = path.into_inner();
    match prepare(&context, &request, (&service, &operation), payload).await {
        Ok(request) => collect(context.relay.new_exchange(request)).await,
        Err(error) => problem::respond(&error),
    }
}

async fn prepare(
    context: &Context,
    request: &HttpRequest,
    path: (&str, &str),
    payload: web::Payload,
) -> Result<Request> {
    let document = context.document()?;
    let (caller, spec) = auth::authenticate(&document, auth::bearer_key(request.headers())?)?;
    let (service, operation, operation_spec) = find_operation(&document, path)?;
    if !spec.classes.contains(&operation_spec.class) {
        return Err(Error::new(
            Kind::Forbidden,
            "the caller may not use this operation",
        ));
    }
    let key = key_header(request)?;
    if key.is_none() && !operation_spec.repeatable {
        return Err(Error::new(
            Kind::KeyRequired,
            "the operation may not be repeated",
        ));
    }
    let invoke = Invoke {
        service,
        operation,
        at_most_once: !operation_spec.repeatable,
        key,
        content_type: content_type(request),
        body: receive::read_body(payload, document.limits.body)
            .await?
            .to_vec(),
    };
    relay_request(context, &document, caller, operation_spec, invoke)
}

fn relay_request(
    context: &Context,
    document: &Document,
    caller: &Caller,
    operation: &OperationSpec,
    invoke: Invoke,
) -> Result<Request> {
    let class = document.classes.get(&operation.class);
    let class = class.ok_or_else(|| Error::new(Kind::Internal, "a class has no specification"))?;
    let now = context.clock.now();
    Ok(Request {
        id: id::Request::random(&mut rand::rng()),
        caller: caller.clone(),
        class: operation.class.clone(),
        priority: class.rank,
        pool: Pool::Service(invoke.service.clone()),
        cost: Cost::default(),
        prefix: Prefix::default(),
        work: Work::Invoke(invoke),
        admission_deadline: now + class.whole,
        response_deadline: now + class.whole + operation.timeout,
        target: LatencyTargets {
            first_part: class.whole,
            whole_response: class.whole,
        },
    })
}

fn find_operation<'a>(
    document: &'a Document,
    (service, operation): (&str, &str),
) -> Result<(Service, Operation, &'a OperationSpec)> {
    let unknown = || Error::new(Kind::NotFound, "there is no such service or operation");
    let service: Service = service.parse().map_err(|_error| unknown())?;
    let operation: Operation = operation.parse().map_err(|_error| unknown())?;
    let spec = document
        .services
        .get(&service)
        .and_then(|spec| spec.operations.get(&operation));
    Ok((service, operation, spec.ok_or_else(unknown)?))
}

fn key_header(request: &HttpRequest) -> Result<Option<Key>> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let invalid = || Error::new(Kind::BadRequest, "the idempotency key is not valid");
    let text = value.to_str().map_err(|_error| invalid())?;
    text.parse().map(Some).map_err(|_error| invalid())
}

fn content_type(request: &HttpRequest) -> String {
    let value = request.headers().get(header::CONTENT_TYPE);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or(DEFAULT_MEDIA_TYPE)
        .to_owned()
}

/// Buffers the answer of a service, whose size the agent limits to 1 MiB.
async fn collect(mut exchange: Exchange) -> HttpResponse {
    let mut body = Vec::new();
    loop {
        match exchange.next().await {
            Some(Ok(ResponsePart::Data(data))) => body.extend_from_slice(&data),
            Some(Ok(ResponsePart::End(summary))) => {
                let request = exchange.id();
                return respond(summary.status, &summary.reason, body, request);
            }
            Some(Err(error)) => return problem::respond(&error),
            None => return problem::respond(&Error::new(Kind::Internal, "there is no answer")),
        }
    }
}

/// Builds the response from the answer of a service.
///
/// Rejects a status outside 200 to 599, because one below 200 would not end the response or would
/// switch the protocol. Replaces a media type that is not a valid header value.
fn respond(status: u16, content_type: &str, body: Vec<u8>, request: id::Request) -> HttpResponse {
    let status = StatusCode::from_u16(status).ok();
    let Some(status) = status.filter(|status| (200..600).contains(&status.as_u16())) else {
        let detail = "the status of the service is not valid";
        return problem::respond(&Error::new(Kind::EndpointFailed, detail));
    };
    let content_type = HeaderValue::from_str(content_type)
        .unwrap_or_else(|_error| HeaderValue::from_static(DEFAULT_MEDIA_TYPE));
    HttpResponse::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .insert_header(("X-Request-Id", request.to_string()))
        .body(body)
}

/// Recorded outcome of an operation, as returned to callers.
#[derive(Serialize)]
struct RecordedOutcome {
    key: Key,
    executed: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content_type: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
}

/// Handles a lookup of the recorded outcome for an idempotency key.
pub(super) async fn lookup(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<(String, String, String)>,
) -> HttpResponse {
    match find_outcome(&context, &request, path.into_inner()).await {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(error) => problem::respond(&error),
    }
}

async fn find_outcome(
    context: &Context,
    request: &HttpRequest,
    (service, operation, key): (String, String, String),
) -> Result<RecordedOutcome> {
    let document = context.document()?;
    let (caller, _spec) = auth::authenticate(&document, auth::bearer_key(request.headers())?)?;
    let (service, operation, _spec) = find_operation(&document, (&service, &operation))?;
    let invalid = |_error| Error::new(Kind::BadRequest, "the idempotency key is not valid");
    let key: Key = key.parse().map_err(invalid)?;
    let lookup = Lookup {
        request: id::Request::random(&mut rand::rng()),
        caller: caller.clone(),
        operation,
        key: key.clone(),
        service,
    };
    let outcome = query_agents(context, &document, lookup).await?;
    match outcome.recorded {
        // A request with this key may be in progress and not have written its claim yet.
        Recorded::Absent => Err(
            Error::new(Kind::NotFound, "nothing is recorded for the key")
                .with_executed(Executed::Unknown),
        ),
        Recorded::Unavailable => Err(Error::new(
            Kind::StoreUnavailable,
            "the record cannot be read now",
        )
        .with_executed(Executed::Unknown)),
        Recorded::Started => Ok(RecordedOutcome {
            key,
            executed: Executed::Unknown,
            status: None,
            content_type: None,
            body: None,
        }),
        Recorded::Ended {
            status,
            content_type,
            body,
        } => Ok(RecordedOutcome {
            key,
            executed: Executed::Yes,
            status: Some(status),
            content_type: Some(content_type),
            body: Some(String::from_utf8_lossy(&body).into_owned()),
        }),
    }
}

/// Queries the agents of the service one after another until one responds. Each of them can read
/// the record from the store.
async fn query_agents(context: &Context, document: &Document, lookup: Lookup) -> Result<Outcome> {
    let of_service = |endpoint: &&Endpoint| {
        let spec = document.endpoints.get(*endpoint);
        spec.is_some_and(|spec| spec.service.as_ref() == Some(&lookup.service))
    };
    let mut last = Error::new(Kind::NoEndpoint, "no endpoint of the service is known");
    for endpoint in document.endpoints.keys().filter(of_service) {
        let message = link::Lookup {
            endpoint: endpoint.clone(),
            lookup: lookup.clone(),
        };
        let mailbox_closed = |_error| Error::new(Kind::Leaving, "the entry is stopping");
        match context.lookup.send(message).await.map_err(mailbox_closed)? {
            Ok(outcome) => return Ok(outcome),
            Err(error) => last = error,
        }
    }
    // A failed lookup says nothing about whether the earlier request was executed.
    Err(last.with_executed(Executed::Unknown))
}
