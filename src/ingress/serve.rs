use std::sync::Arc;

use actix_web::{
    HttpRequest, HttpResponse,
    body::SizedStream,
    http::{
        StatusCode,
        header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    web,
};

use super::{
    Result,
    imp::{Config, Context},
};
use crate::{
    error::{Error, Kind},
    forward::{self, Call, Response},
    front::{health, problem, receive},
    route::{Plan, Route},
    unit::Bytes,
};

/// Bytes of a header line besides its name and value: a colon, a space and the line break.
const HEADER_EXTRA: usize = 4;

/// Serves a request of a caller.
pub(super) async fn request(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<Context>,
) -> HttpResponse {
    let stopping = *context.config.stopping.borrow();
    let mut response = match forward(&request, payload, &context).await {
        Ok(answer) => respond(answer),
        Err(error) => refuse(&error),
    };
    if stopping {
        // The caller's next request goes to a process that stays.
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
) -> Result<Response> {
    let (call, route) = admit(request, payload, context)
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
            "request is refused");
        })?;
    forward::start(call, route, context.ports.clone()).await
}

/// Finds the route of a request and receives it within the limits.
async fn admit(
    request: &HttpRequest,
    payload: web::Payload,
    context: &Context,
) -> Result<(Call, Arc<Route>)> {
    let plan: Option<Arc<Plan>> = context.config.plan.borrow().clone();
    let plan = plan.ok_or_else(|| Error::new(Kind::NotReady, "no plan is known yet"))?;
    let host = request.headers().get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = plan.find(host, request.path()).cloned();
    let route = route.ok_or_else(|| Error::new(Kind::NotFound, "there is no such route"))?;
    let limits = plan.limits();
    check_head(request.headers(), limits.head)?;
    let arrived = context.ports.clock.now();
    let body = receive::body(payload, limits.body).await?;
    let call = context.config.protocol.decode(request, body, arrived)?;
    Ok((call, route))
}

fn check_head(headers: &HeaderMap, limit: Bytes) -> Result<()> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA)
        .sum();
    if size as u64 > limit.get() {
        let detail = format!("the head is larger than {limit}");
        return Err(Error::new(Kind::HeadTooLarge, detail));
    }
    Ok(())
}

fn respond(answer: Response) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in answer.headers {
        response.append_header((name, value));
    }
    match answer.length {
        Some(length) => response.body(SizedStream::new(length, answer.body)),
        None => response.streaming(answer.body),
    }
}

fn refuse(error: &Error) -> HttpResponse {
    let mut response = problem::respond(error);
    if let Some(period) = error.retry_after() {
        let seconds = format!("{:.3}", period.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Tells the load balancer whether to send callers here.
pub(super) async fn readiness(config: web::Data<Config>) -> HttpResponse {
    match config.readiness() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(error) => problem::respond(&error),
    }
}

/// The metrics in the text format of Prometheus.
pub(super) async fn metrics(config: web::Data<Config>) -> HttpResponse {
    health::render(&config.metrics)
}
