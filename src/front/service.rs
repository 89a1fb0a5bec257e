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
    relay::{Exchange, Part, Request, Target},
    routing::{Cost, Pool, Prefix},
    wire::{Invoke, Lookup, Outcome, Recorded, Work},
};

/// Header of the idempotency key, in requests and answers.
const KEY_HEADER: &str = "Idempotency-Key";
/// Media type of a body that names none.
const UNKNOWN_TYPE: &str = "application/octet-stream";

/// Calls an operation of a service.
pub(super) async fn invoke(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let (service, operation) = path.into_inner();
    match prepare(&context, &request, (&service, &operation), payload).await {
        Ok(request) => deliver(context.relay.begin(request)).await,
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
    let (caller, spec) = auth::authenticate(&document, auth::bearer(request.headers())?)?;
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
        once: !operation_spec.repeatable,
        key,
        content_type: content_type(request),
        body: receive::body(payload, document.limits.body).await?.to_vec(),
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
        start_by: now + class.whole,
        end_by: now + class.whole + operation.timeout,
        target: Target {
            first: class.whole,
            whole: class.whole,
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
        .unwrap_or(UNKNOWN_TYPE)
        .to_owned()
}

/// Collects the answer of a service, which the agent limits to 1 MiB.
async fn deliver(mut exchange: Exchange) -> HttpResponse {
    let mut body = Vec::new();
    loop {
        match exchange.next().await {
            Some(Ok(Part::Data(data))) => body.extend_from_slice(&data),
            Some(Ok(Part::End(summary))) => {
                let request = exchange.id();
                return respond(summary.status, &summary.reason, body, request);
            }
            Some(Err(error)) => return problem::respond(&error),
            None => return problem::respond(&Error::new(Kind::Internal, "there is no answer")),
        }
    }
}

/// A status below 200 would begin another protocol, and what is no media type cannot be sent.
fn respond(status: u16, content_type: &str, body: Vec<u8>, request: id::Request) -> HttpResponse {
    let status = StatusCode::from_u16(status).ok();
    let Some(status) = status.filter(|status| (200..600).contains(&status.as_u16())) else {
        let detail = "the status of the service is not valid";
        return problem::respond(&Error::new(Kind::EndpointFailed, detail));
    };
    let content_type = HeaderValue::from_str(content_type)
        .unwrap_or_else(|_error| HeaderValue::from_static(UNKNOWN_TYPE));
    HttpResponse::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .insert_header(("X-Request-Id", request.to_string()))
        .body(body)
}

/// What is recorded for a key, for callers.
#[derive(Serialize)]
struct Record {
    key: Key,
    executed: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content_type: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
}

/// Returns what is recorded for an idempotency key.
pub(super) async fn recorded(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<(String, String, String)>,
) -> HttpResponse {
    match find_record(&context, &request, path.into_inner()).await {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(error) => problem::respond(&error),
    }
}

async fn find_record(
    context: &Context,
    request: &HttpRequest,
    (service, operation, key): (String, String, String),
) -> Result<Record> {
    let document = context.document()?;
    let (caller, _spec) = auth::authenticate(&document, auth::bearer(request.headers())?)?;
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
    let outcome = ask_agents(context, &document, lookup).await?;
    match outcome.recorded {
        // A request with the key may still be on its way to its claim.
        Recorded::Absent => Err(
            Error::new(Kind::NotFound, "nothing is recorded for the key")
                .with_executed(Executed::Unknown),
        ),
        Recorded::Unavailable => Err(Error::new(
            Kind::StoreUnavailable,
            "the record cannot be read now",
        )
        .with_executed(Executed::Unknown)),
        Recorded::Started => Ok(Record {
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
        } => Ok(Record {
            key,
            executed: Executed::Yes,
            status: Some(status),
            content_type: Some(content_type),
            body: Some(String::from_utf8_lossy(&body).into_owned()),
        }),
    }
}

/// Asks the agents of the service in turn. Each of them can read the record from the store.
async fn ask_agents(context: &Context, document: &Document, lookup: Lookup) -> Result<Outcome> {
    let of_service = |endpoint: &&Endpoint| {
        let spec = document.endpoints.get(*endpoint);
        spec.is_some_and(|spec| spec.service.as_ref() == Some(&lookup.service))
    };
    let mut last = Error::new(Kind::NoEndpoint, "no endpoint of the service is known");
    for endpoint in document.endpoints.keys().filter(of_service) {
        let question = link::Lookup {
            endpoint: endpoint.clone(),
            lookup: lookup.clone(),
        };
        let stopping = |_error| Error::new(Kind::Leaving, "the entry is stopping");
        match context.lookup.send(question).await.map_err(stopping)? {
            Ok(outcome) => return Ok(outcome),
            Err(error) => last = error,
        }
    }
    // The question is about an earlier request, on which its own failure says nothing.
    Err(last.with_executed(Executed::Unknown))
}
