use std::{sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    body::{self, BodyStream, SizedStream},
    http::{
        StatusCode,
        header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    web,
};
use futures_util::{StreamExt, stream::LocalBoxStream};

use super::{
    Result,
    imp::{Config, Context},
};
use crate::{
    customer::Customer,
    error::{Error, Kind},
    forward::{self, Call, Response},
    front::{health, problem, receive},
    memory::Reservation,
    route::{Plan, Route},
    unit,
    upstream::Framing,
};

/// Bytes of a header line in addition to its name and value: colon, space, CR and LF.
const HEADER_LINE_OVERHEAD: usize = 4;
/// Retry-after period of a refusal by a stopping process. The next attempt reaches another one.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Handles a request from a caller.
pub(super) async fn request(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<Context>,
) -> HttpResponse {
    let sender = request.peer_addr().unwrap_or(context.config.listen);
    let mut held = context.bodies.reserve(sender);
    let mut response = match forward(&request, payload, &context, &mut held).await {
        Ok(response) => to_http_response(response, held),
        Err(error) => error_response(&error),
    };
    // A stop may have begun after the request.
    if context.config.shutdown.schedule().is_some() {
        // Closes the caller's connection, so that its next request reaches another process.
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

async fn forward(
    request: &HttpRequest,
    payload: web::Payload,
    context: &Context,
    held: &mut Reservation,
) -> Result<Response> {
    let (call, route) = receive_request(request, payload, context, held)
        .await
        .inspect_err(|error| {
            let id = context.config.protocol.call_id(request);
            let version = context
                .config
                .plan
                .borrow()
                .as_ref()
                .map(|plan| plan.version());
            log::info!(call:? = id.map(|id| id.to_string()), path = request.path(),
            plan:? = version.map(|version| version.to_string()), error:% = error;
            "request refused");
        })?;
    forward::start(call, route, context.ports.clone()).await
}

/// Finds the route of a request, and receives and decodes the request within the limits of the
/// plan.
async fn receive_request(
    request: &HttpRequest,
    payload: web::Payload,
    context: &Context,
    held: &mut Reservation,
) -> Result<(Call, Arc<Route>)> {
    // Read before the plan: one that replaces the plan in between is confirmed, too.
    let confirmed = context.config.freshness.confirmed();
    let plan: Option<Arc<Plan>> = context.config.plan.borrow().clone();
    let plan = plan.ok_or_else(|| Error::new(Kind::NotReady, "no plan is known yet"))?;
    let host = request.headers().get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = plan.find(host, request.path()).cloned();
    let route = route.ok_or_else(|| Error::new(Kind::NotFound, "there is no such route"))?;
    let customer = authenticate(request, &plan, &route, confirmed, context)?;
    let limits = plan.limits();
    check_head(request.headers(), limits.head)?;
    let announced = announced_length(request.headers());
    receive::check_announced(announced, limits.body, held)?;
    let arrived = context.ports.clock.now();
    let shutdown = context.config.shutdown.clone();
    let body = tokio::select! {
        body = receive::read_held_body(payload, announced, limits.body, held) => body?,
        () = shutdown.cut(&*context.ports.clock) => return Err(leaving()),
    };
    let mut call = context.config.protocol.decode(request, body, arrived)?;
    if plan.customers().is_some() {
        context.config.protocol.identify(&mut call, customer);
    }
    let call = admit(call, &route, context)?;
    Ok((call, route))
}

/// Finds the customer that sends a request, if the plan has customers. While the plan is not confirmed, any
/// key may have been removed or added: it is refused, or ignored on a public route.
fn authenticate(
    request: &HttpRequest,
    plan: &Plan,
    route: &Route,
    confirmed: Option<Duration>,
    context: &Context,
) -> Result<Option<Arc<Customer>>> {
    let Some(customers) = plan.customers() else {
        return Ok(None);
    };
    let key = context.config.protocol.key(request);
    let key = match context.config.freshness.check(confirmed) {
        Ok(()) => key,
        Err(error) if key.is_some() && !route.public => return Err(error),
        Err(_) => None,
    };
    let customer = customers.authenticate(key.as_ref(), route.public)?;
    Ok(customer.cloned())
}

/// Refuses a request that a stopping process may be unable to answer, and limits the time of others
/// to that of the stop.
fn admit(mut call: Call, route: &Route, context: &Context) -> Result<Call> {
    let Some(schedule) = context.config.shutdown.schedule() else {
        return Ok(call);
    };
    let timeout = call.timeout.unwrap_or(route.timeout).min(route.timeout);
    let now = context.ports.clock.now();
    let deadline = schedule
        .admit(now, call.arrived + timeout, route.kind)
        .ok_or_else(leaving)?;
    call.timeout = Some(deadline.saturating_duration_since(call.arrived));
    Ok(call)
}

fn leaving() -> Error {
    let detail = "the process is stopping and takes no request of this length";
    Error::new(Kind::Leaving, detail).with_retry_after(LEAVING_RETRY_AFTER)
}

/// The length of the body, unless it is sent in chunks.
fn announced_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn check_head(headers: &HeaderMap, limit: unit::Bytes) -> Result<()> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD)
        .sum();
    if size as u64 > limit.get() {
        let detail = format!("the head is larger than {limit}");
        return Err(Error::new(Kind::HeadTooLarge, detail));
    }
    Ok(())
}

/// Builds the response. The body of the request is held until that of the response ends, since the stream may
/// be resumed at another endpoint.
fn to_http_response(response: Response, held: Reservation) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    let declared = announced_length(&response.headers);
    for (name, value) in response.headers {
        builder.append_header((name, value));
    }
    // The stream owns the reservation.
    let body = response.body.inspect(move |_part| {
        let _held = &held;
    });
    match response.framing {
        Framing::Empty => respond_without_body(builder, declared, body.boxed_local()),
        Framing::Length(length) => builder.body(SizedStream::new(length.get(), body)),
        Framing::Chunked | Framing::UntilClose => builder.streaming(body),
    }
}

/// A response without a body, and without the framing of one. Its `Content-Length`, if it has one, is
/// that of the response to another request (RFC 9110, section 8.6).
fn respond_without_body(
    mut builder: HttpResponseBuilder,
    declared: Option<u64>,
    body: LocalBoxStream<'static, Result<web::Bytes>>,
) -> HttpResponse {
    match declared {
        Some(length) => builder.no_chunking(length).body(BodyStream::new(body)),
        None => builder.body(body::None::new()),
    }
}

fn error_response(error: &Error) -> HttpResponse {
    let mut response = problem::respond(error);
    if let Some(period) = error.retry_after() {
        let seconds = format!("{:.3}", period.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Readiness check of the load balancer.
pub(super) async fn readiness(config: web::Data<Config>) -> HttpResponse {
    match config.readiness() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(error) => problem::respond(&error),
    }
}

/// Renders the metrics in the Prometheus text format.
pub(super) async fn metrics(config: web::Data<Config>) -> HttpResponse {
    health::render(&config.metrics)
}
