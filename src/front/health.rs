use actix_web::{HttpResponse, http::header, web};
use metrics_exporter_prometheus::PrometheusHandle;

use super::{imp::Context, problem};

/// Liveness: always succeeds.
pub(super) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Readiness: succeeds if the load balancer may send requests.
pub(super) async fn readyz(context: web::Data<Context>) -> HttpResponse {
    match context.readiness() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(error) => problem::respond(&error),
    }
}

/// Returns the metrics in the Prometheus text format.
pub(super) async fn metrics(context: web::Data<Context>) -> HttpResponse {
    render(&context.metrics)
}

/// Renders a metrics response; also used by the HTTP server of the gateway.
pub(crate) fn render(metrics: &PrometheusHandle) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((header::CONTENT_TYPE, "text/plain; version=0.0.4"))
        .body(metrics.render())
}
