use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use actix_web::{
    App, HttpResponse, HttpServer,
    dev::ServerHandle,
    web::{self, Bytes, Data, Json},
};
use futures_util::{StreamExt, stream};
use mulberrymill::{
    clock,
    error::{Error, Executed, Kind},
    store::{Counts, Faults, Memory, Reader, Store},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{
    Result,
    codec::{self, Malformed},
};

/// Largest request body, which has to hold a transaction of 128 writes.
const REQUEST_MAX_BYTES: usize = 4 << 20;
/// TTL in the response to the renewal of a live lease. Clients only compare it with 0.
const RENEWED_TTL_SECONDS: &str = "1";

/// Configuration of a store stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address to bind, a free loopback port by default. Port 0 lets the system choose.
    pub address: SocketAddr,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        }
    }
}

/// Active faults, as set by `POST /fault`. Each request replaces all of them; a missing field means
/// that there is no such fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// Connections of store calls are closed without a response, and no call takes effect.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub slow: u64,
    /// Number of upcoming writes that take effect but whose connection is closed without a
    /// response.
    pub lose_answers: u32,
}

/// A running store stand-in. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    server: ServerHandle,
}

impl Handle {
    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

/// Starts a stand-in with an empty store. Must be called inside an actix system.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(config: Config) -> Result<Handle> {
    // A single worker owns the store, so that no state is shared between threads.
    let server = HttpServer::new(|| {
        App::new()
            .app_data(web::PayloadConfig::new(REQUEST_MAX_BYTES))
            .app_data(Data::new(Memory::new(clock::System::shared())))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(keepalive))
            .route("/v3/lease/revoke", web::post().to(revoke))
            .route("/v3/kv/lease/revoke", web::post().to(revoke))
            .route("/v3/watch", web::post().to(watch))
            .route("/fault", web::post().to(fault))
            .route("/count", web::get().to(count))
    })
    .workers(1)
    .disable_signals()
    .bind(config.address)?;
    let address = server.addrs().first().copied();
    let address = address.ok_or_else(|| io::Error::other("no address was bound"))?;
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Handle {
        address,
        server: handle,
    })
}

/// Reason why a call has no regular response.
#[derive(Debug)]
enum Failure {
    Malformed(Malformed),
    Store(Error),
}

impl From<Malformed> for Failure {
    fn from(error: Malformed) -> Self {
        Self::Malformed(error)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Store(error)
    }
}

type Outcome = std::result::Result<Value, Failure>;

fn respond(store: &Memory, outcome: Outcome) -> HttpResponse {
    match outcome {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(failure) => error_response(store, &failure),
    }
}

fn error_response(store: &Memory, failure: &Failure) -> HttpResponse {
    match failure {
        Failure::Malformed(error) => gateway_error(400, 3, &error.to_string()),
        Failure::Store(error) if error.kind() != Kind::StoreUnavailable => {
            gateway_error(400, 3, error.detail())
        }
        // The store is up and did not run the call, so the lease was not found.
        Failure::Store(error) if error.executed() == Executed::No && !store.faults().down => {
            gateway_error(404, 5, "etcdserver: requested lease not found")
        }
        Failure::Store(_) => close_connection(),
    }
}

fn gateway_error(status: u16, code: u8, message: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
    HttpResponse::build(status).json(json!({ "error": message, "code": code, "message": message }))
}

/// Response whose body fails, which makes the server close the connection.
fn close_connection() -> HttpResponse {
    let failed = stream::once(async { Err::<Bytes, _>(io::Error::other("fault")) });
    HttpResponse::Ok().streaming(failed)
}

async fn range(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let outcome = async {
        let range = match codec::key_or_prefix(&codec::parse(&body)?)? {
            (path, false) => store.get(path).await?,
            (prefix, true) => store.range(prefix).await?,
        };
        let kvs: Vec<Value> = range.items.iter().map(codec::item).collect();
        let header = codec::header(range.revision);
        Ok(json!({ "header": header, "kvs": kvs, "count": kvs.len().to_string() }))
    };
    respond(&store, outcome.await)
}

async fn txn(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let outcome = async {
        let (txn, reads) = codec::txn(&codec::parse(&body)?)?;
        let commit = store.commit(txn).await?;
        Ok(codec::commit(&commit, &reads))
    };
    respond(&store, outcome.await)
}

async fn grant(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let outcome = async {
        let period = codec::period(&codec::parse(&body)?)?;
        let lease = store.grant(period).await?;
        let seconds = period.as_secs().to_string();
        let header = codec::header(store.revision());
        Ok(json!({ "header": header, "ID": lease.to_string(), "TTL": seconds }))
    };
    respond(&store, outcome.await)
}

async fn keepalive(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let outcome = async {
        let lease = codec::lease(&codec::parse(&body)?)?;
        let renewed = store.renew(lease).await?;
        let mut result =
            json!({ "header": codec::header(store.revision()), "ID": lease.to_string() });
        if renewed {
            result["TTL"] = Value::String(RENEWED_TTL_SECONDS.to_owned());
        }
        Ok(json!({ "result": result }))
    };
    respond(&store, outcome.await)
}

async fn revoke(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let outcome = async {
        let lease = codec::lease(&codec::parse(&body)?)?;
        store.revoke(lease).await?;
        Ok(json!({ "header": codec::header(store.revision()) }))
    };
    respond(&store, outcome.await)
}

async fn watch(store: Data<Memory>, body: Bytes) -> HttpResponse {
    let opened = async {
        let (prefix, from) = codec::watch(&codec::parse(&body)?)?;
        Ok::<_, Failure>(store.watch(prefix, from.into()).await?)
    };
    let events = match opened.await {
        Ok(events) => events,
        Err(failure) => return error_response(&store, &failure),
    };
    let first = stream::iter([Ok(codec::created(store.revision()))]);
    let batches = events.map(|batch| batch.map(|events| codec::events(&events)));
    let lines = first.chain(batches).map(|line| {
        line.map(|line| Bytes::from(format!("{line}\n")))
            .map_err(|error: Error| io::Error::other(error.to_string()))
    });
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(lines)
}

async fn fault(store: Data<Memory>, fault: Json<Fault>) -> HttpResponse {
    store.set_faults(Faults {
        down: fault.down,
        lose_answers: fault.lose_answers,
        delay: Duration::from_millis(fault.slow),
    });
    HttpResponse::NoContent().finish()
}

async fn count(store: Data<Memory>) -> Json<Counts> {
    Json(store.counts())
}
