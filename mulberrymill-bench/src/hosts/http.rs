use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix::prelude::*;
use actix_web::{HttpResponse, web};
use mulberrymill::{
    clock,
    id::{Host, Zone},
};
use serde::Deserialize;
use serde_json::json;

use super::{Config, Fault, HostList, HostRecord, State};
use crate::port::{Port, Result};

/// A running host list stand-in. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    hosts: Addr<Hosts>,
    port: Port,
    faults: Port,
}

impl Handle {
    /// Address that serves the list.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that accepts `POST /fault` and `POST /hosts/{host}` even while the list is down.
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
        let sent = self.hosts.send(Inject(fault)).await;
        sent.map_err(std::io::Error::other)?
    }
}

#[derive(Debug)]
struct Hosts {
    list: HostList,
    port: Option<Port>,
    delay: Duration,
}

impl Actor for Hosts {
    type Context = Context<Self>;
}

#[derive(Message)]
#[rtype(result = "(Vec<HostRecord>, Duration)")]
struct List;

#[derive(Message)]
#[rtype(result = "bool")]
struct Set(Host, Option<Zone>, State);

#[derive(Message)]
#[rtype(result = "Result<()>")]
struct Inject(Fault);

#[derive(Message)]
#[rtype(result = "()")]
struct Attach(Port);

impl Handler<List> for Hosts {
    type Result = MessageResult<List>;

    fn handle(&mut self, _: List, _: &mut Self::Context) -> Self::Result {
        MessageResult((self.list.visible_hosts(), self.delay))
    }
}

impl Handler<Set> for Hosts {
    type Result = bool;

    fn handle(&mut self, Set(host, zone, state): Set, _: &mut Self::Context) -> bool {
        self.list.set(host, zone, state)
    }
}

impl Handler<Inject> for Hosts {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, Inject(fault): Inject, _: &mut Self::Context) -> Self::Result {
        match fault {
            Fault::Stale { on } => self.list.set_stale(on),
            Fault::Slow { delay_ms } => self.delay = Duration::from_millis(delay_ms),
            Fault::Down | Fault::Up => {}
        }
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

impl Handler<Attach> for Hosts {
    type Result = ();

    fn handle(&mut self, Attach(port): Attach, _: &mut Self::Context) {
        self.port = Some(port);
    }
}

/// Starts a host list on free loopback ports. Must be called inside an actix system.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn bind(config: Config) -> Result<Handle> {
    let hosts = Hosts {
        list: HostList::new(config, clock::System::shared()),
        port: None,
        delay: Duration::ZERO,
    }
    .start();
    let data = web::Data::new(hosts.clone());
    let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/hosts", web::get().to(list))
            .route("/hosts/{host}", web::post().to(set))
            .route("/fault", web::post().to(fault));
    }))?;
    hosts.do_send(Attach(port.clone()));
    let data = web::Data::new(hosts.clone());
    let faults = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
        app.app_data(data.clone())
            .route("/hosts/{host}", web::post().to(set))
            .route("/fault", web::post().to(fault));
    }))?;
    Ok(Handle {
        hosts,
        port,
        faults,
    })
}

async fn list(hosts: web::Data<Addr<Hosts>>) -> HttpResponse {
    match hosts.send(List).await {
        Ok((list, delay)) => {
            actix_rt::time::sleep(delay).await;
            HttpResponse::Ok().json(list)
        }
        Err(error) => failed(&error),
    }
}

#[derive(Deserialize)]
struct Update {
    state: State,
    zone: Option<Zone>,
}

async fn set(
    hosts: web::Data<Addr<Hosts>>,
    host: web::Path<Host>,
    body: web::Json<Update>,
) -> HttpResponse {
    let Update { state, zone } = body.into_inner();
    match hosts.send(Set(host.into_inner(), zone, state)).await {
        Ok(true) => HttpResponse::Ok().json(json!({"accepted": true})),
        Ok(false) => HttpResponse::BadRequest().json(json!({"error": "a new host needs a zone"})),
        Err(error) => failed(&error),
    }
}

async fn fault(hosts: web::Data<Addr<Hosts>>, body: web::Json<Fault>) -> HttpResponse {
    match hosts.send(Inject(body.into_inner())).await {
        Ok(Ok(())) => HttpResponse::Ok().json(json!({"injected": true})),
        Ok(Err(error)) => failed(&error),
        Err(error) => failed(&error),
    }
}

fn failed(error: &dyn std::error::Error) -> HttpResponse {
    HttpResponse::InternalServerError().json(json!({"error": error.to_string()}))
}
