use actix_web::{HttpResponse, http::header, web};
use metrics_exporter_prometheus::PrometheusHandle;

use super::{imp::Context, problem};

/// The process runs.
pub(super) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// The balancer may send requests.
pub(super) async fn readyz(context: web::Data<Context>) -> HttpResponse {
    match context.readiness() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(error) => problem::respond(&error),
    }
}

/// Metrics in the Prometheus text format.
pub(super) async fn metrics(context: web::Data<Context>) -> HttpResponse {
    render(&context.metrics)
}

/// The metrics as a response, for every server that shows them.
pub(crate) fn render(metrics: &PrometheusHandle) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((header::CONTENT_TYPE, "text/plain; version=0.0.4"))
        .body(metrics.render())
}
