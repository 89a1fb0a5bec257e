use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use actix::prelude::*;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use mulberrymill::id::{Key, Operation};
use serde_json::json;

use super::{Config, Fault, Outcome, ServiceState};
use crate::port::{Port, Result};

/// A running service stand-in. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    service: Addr<Service>,
    port: Port,
    faults: Port,
}

impl Handle {
    /// Address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that accepts `POST /fault` and `GET /executions` even while the service is down.
    #[must_use]
    pub const fn fault_address(&self) -> SocketAddr {
        self.faults.address()
    }

    /// Injects a fault and returns once it is in effect.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in has stopped, or if [`Fault::Up`] finds the port taken.
    pub async fn fault(&self, fault: Fault) -> Result<()> {
        self.service.send(Inject(fault)).await.map_err(stopped)?
    }

    /// Number of executions by `operation/key`; those without a key count under `operation/-`.
    ///
    /// # Errors
    ///
    /// Fails if the service has stopped.
    pub async fn executions(&self) -> Result<BTreeMap<String, u64>> {
        self.service.send(Executions).await.map_err(stopped)
    }
}

fn stopped(_error: MailboxError) -> std::io::Error {
    std::io::Error::other("the service stand-in has stopped")
}

#[derive(Debug)]
struct Service {
    state: ServiceState,
    port: Option<Port>,
}

impl Actor for Service {
    type Context = Context<Self>;
}

#[derive(Message)]
#[rtype(result = "Option<Outcome>")]
struct Run(Operation, Option<Key>);

#[derive(Message)]
#[rtype(result = "Result<()>")]
struct Inject(Fault);

#[derive(Message)]
#[rtype(result = "()")]
struct Attach(Port);

#[derive(Message)]
#[rtype(result = "BTreeMap<String, u64>")]
struct Executions;

#[derive(Message)]
#[rtype(result = "usize")]
struct InProgress;

impl Handler<Run> for Service {
    type Result = ResponseActFuture<Self, Option<Outcome>>;

    fn handle(&mut self, Run(operation, key): Run, _: &mut Self::Context) -> Self::Result {
        let Some(delay) = self.state.begin() else {
            return Box::pin(actix::fut::ready(None));
        };
        // The actor owns the operation, so that it is executed even if the caller disconnects.
        let wait = actix::fut::wrap_future::<_, Self>(actix_rt::time::sleep(delay));
        Box::pin(
            wait.map(move |(), service, _| Some(service.state.execute(&operation, key.as_ref()))),
        )
    }
}

impl Handler<Inject> for Service {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, Inject(fault): Inject, _: &mut Self::Context) -> Self::Result {
        self.state.fault(fault);
        let port = self.port.clone();
        Box::pin(async move {
            match (fault, port) {
                (Fault::Down, Some(port)) => port.down().await,
                (Fault::Up, Some(port)) => port.up().await?,
                _ => {}
            }
            Ok(())
        })
    }
}

impl Handler<Attach> for Service {
    type Result = ();

    fn handle(&mut self, Attach(port): Attach, _: &mut Self::Context) {
        self.port = Some(port);
    }
}

impl Handler<Executions> for Service {
    type Result = MessageResult<Executions>;

    fn handle(&mut self, _: Executions, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.state.executions().clone())
    }
}

impl Handler<InProgress> for Service {
    type Result = usize;

    fn handle(&mut self, _: InProgress, _: &mut Self::Context) -> usize {
        self.state.in_progress()
    }
}

/// Starts a service stand-in on free loopback ports. Must be called inside an actix system.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn bind(config: Config) -> Result<Handle> {
    let service = Service {
        state: ServiceState::new(config),
        port: None,
    }
    .start();
    let data = web::Data::new(service.clone());
    let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/control/load", web::get().to(load))
            .route("/executions", web::get().to(executions))
            .route("/fault", web::post().to(fault))
            .route("/{operation}", web::post().to(run));
    }))?;
    service.do_send(Attach(port.clone()));
    let data = web::Data::new(service.clone());
    let faults = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/executions", web::get().to(executions))
            .route("/fault", web::post().to(fault));
    }))?;
    Ok(Handle {
        service,
        port,
        faults,
    })
}

async fn run(
    service: web::Data<Addr<Service>>,
    path: web::Path<Operation>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let operation = path.into_inner();
    let header = request.headers().get("idempotency-key");
    let key = match header.map(|value| value.to_str().unwrap_or("").parse::<Key>()) {
        None => None,
        Some(Ok(key)) => Some(key),
        Some(Err(error)) => {
            return HttpResponse::BadRequest().json(json!({"error": error.to_string()}));
        }
    };
    match service.send(Run(operation.clone(), key.clone())).await {
        Ok(Some(Outcome::Ran(execution))) => HttpResponse::Ok().json(json!({
            "operation": operation,
            "key": key,
            "execution": execution,
            "body_bytes": body.len(),
        })),
        // An error in the body closes the connection before the response is complete.
        Ok(Some(Outcome::Lost)) => HttpResponse::Ok().streaming(stream::once(async {
            Err::<Bytes, _>(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
        })),
        Ok(None) => HttpResponse::ServiceUnavailable().json(json!({"error": "refused"})),
        Err(error) => failed(&error),
    }
}

async fn executions(service: web::Data<Addr<Service>>) -> HttpResponse {
    match service.send(Executions).await {
        Ok(executions) => HttpResponse::Ok().json(executions),
        Err(error) => failed(&error),
    }
}

async fn load(service: web::Data<Addr<Service>>) -> HttpResponse {
    match service.send(InProgress).await {
        Ok(count) => HttpResponse::Ok().json(json!({"running": count})),
        Err(error) => failed(&error),
    }
}

async fn fault(service: web::Data<Addr<Service>>, body: web::Json<Fault>) -> HttpResponse {
    match service.send(Inject(body.into_inner())).await {
        Ok(Ok(())) => HttpResponse::Ok().json(json!({"injected": true})),
        Ok(Err(error)) => failed(&error),
        Err(error) => failed(&error),
    }
}

fn failed(error: &dyn std::error::Error) -> HttpResponse {
    HttpResponse::InternalServerError().json(json!({"error": error.to_string()}))
}
