use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{
    HttpResponse,
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    http::header::{HeaderName, HeaderValue},
    middleware::{Next, from_fn},
    web::{self, Query},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::watch, time};

use super::Result;
use crate::port::Port;

/// Maximum items in one page of a range response, small enough that tests need several pages.
const PAGE_ITEMS: usize = 2;

#[derive(Clone, Debug, Default)]
struct Keys {
    /// Number of restores, stated in every answer.
    era: u64,
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Changes since the last compaction by revision and key; a removal has no value.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Revision up to which the history is compacted.
    compacted: u64,
    /// Id of the last lease that was granted; 0 before the first.
    last_lease: u64,
    /// Keys attached to each live lease.
    leases: BTreeMap<u64, Vec<String>>,
    /// Keys that are listed with this text in place of their item.
    odd_items: BTreeMap<String, String>,
    /// Range calls so far.
    range_calls: usize,
}

#[derive(Debug)]
struct Shared {
    keys: Mutex<Keys>,
    changed: watch::Sender<u64>,
}

impl Shared {
    fn keys(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, key: &str, value: Option<Vec<u8>>) {
        let mut keys = self.keys();
        keys.revision += 1;
        let revision = keys.revision;
        match &value {
            Some(value) => keys.items.insert(key.to_owned(), (value.clone(), revision)),
            None => keys.items.remove(key),
        };
        keys.history.push((revision, key.to_owned(), value));
        drop(keys);
        self.changed.send_replace(revision);
    }
}

/// Copy of the keys, leases and history of a [`Store`].
#[derive(Clone, Debug)]
pub struct Backup(Keys);

/// Stand-in for the platform's key-value store. It serves ranges in small pages, watches,
/// unconditional writes, and leases that never expire on their own. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
    port: Port,
}

impl Store {
    /// Binds a free loopback port. Must be called inside an actix system.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn bind() -> Result<Self> {
        let shared = Arc::new(Shared {
            keys: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let data = web::Data::from(Arc::clone(&shared));
        let routes = Arc::new(move |app: &mut web::ServiceConfig| {
            let scope = web::scope("")
                .app_data(data.clone())
                .wrap(from_fn(state_era))
                .route("/mulberrymill/kv-range", web::get().to(range))
                .route("/mulberrymill/kv-watch", web::get().to(watch_changes))
                .route("/mulberrymill/kv-txn", web::post().to(commit))
                .route("/mulberrymill/kv-lease", web::post().to(grant))
                .route("/mulberrymill/kv-keep/{lease}", web::post().to(renew))
                .route(
                    "/mulberrymill/kv-lease-end/{lease}",
                    web::delete().to(revoke),
                )
                .default_service(web::to(HttpResponse::NotFound));
            app.service(scope);
        });
        let port = Port::bind(routes)?;
        Ok(Self { shared, port })
    }

    /// Address that the store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Port of the store, to take it down and bring it back.
    #[must_use]
    pub const fn port(&self) -> &Port {
        &self.port
    }

    /// Present keys that start with a prefix, sorted.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.shared.keys();
        let matching = keys.items.keys().filter(|key| key.starts_with(prefix));
        matching.cloned().collect()
    }

    /// Expires all leases and removes their keys, as a platform outage can.
    pub fn lapse_leases(&self) {
        let leases = std::mem::take(&mut self.shared.keys().leases);
        for key in leases.into_values().flatten() {
            self.remove(&key);
        }
    }

    /// Sets a key to a JSON value, without a lease.
    pub fn put(&self, key: &str, value: &Value) {
        self.shared.apply(key, Some(value.to_string().into_bytes()));
    }

    /// Sets a key to any bytes, without a lease.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        self.shared.apply(key, Some(value));
    }

    /// Sets a key that pages and events list as `text`, whatever it is, in place of an item.
    pub fn put_odd_item(&self, key: &str, text: &str) {
        let odd = (key.to_owned(), text.to_owned());
        self.shared.keys().odd_items.extend([odd]);
        self.shared.apply(key, Some(Vec::new()));
    }

    /// Number of range calls so far.
    #[must_use]
    pub fn range_calls(&self) -> usize {
        self.shared.keys().range_calls
    }

    /// Removes a key and records the removal for watches, even if the key is absent.
    pub fn remove(&self, key: &str) {
        self.shared.apply(key, None);
    }

    /// Copies the current state.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        Backup(self.shared.keys().clone())
    }

    /// Goes back to an earlier state, in a new era. Revisions and lease numbers are given out again.
    pub fn restore(&self, backup: Backup) {
        let mut keys = self.shared.keys();
        let era = keys.era + 1;
        *keys = backup.0;
        keys.era = era;
        let revision = keys.revision;
        drop(keys);
        self.shared.changed.send_replace(revision);
    }

    /// Compacts the history up to the current revision, as the platform does after a while. Watches
    /// from an earlier revision then get status 410.
    pub fn compact(&self) {
        let mut keys = self.shared.keys();
        keys.history.clear();
        keys.compacted = keys.revision;
    }
}

#[derive(Deserialize)]
struct Range {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Watch {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

impl Keys {
    /// JSON text of an item.
    fn item(&self, key: &str, value: &[u8], revision: u64) -> String {
        self.odd_items.get(key).cloned().unwrap_or_else(|| {
            json!({
                "key": key, "value": STANDARD.encode(value), "rev": revision,
                "createRev": revision, "lease": 0,
            })
            .to_string()
        })
    }
}

fn json_response(body: String) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}

/// States the era in the answer, whatever its status.
async fn state_era(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> actix_web::Result<ServiceResponse<impl MessageBody>> {
    let shared = request.app_data::<web::Data<Shared>>().cloned();
    let mut response = next.call(request).await?;
    if let Some(shared) = shared {
        let era = HeaderValue::from(shared.keys().era);
        let name = HeaderName::from_static("store-era");
        response.headers_mut().insert(name, era);
    }
    Ok(response)
}

async fn range(shared: web::Data<Shared>, query: Query<Range>) -> HttpResponse {
    let mut keys = shared.keys();
    keys.range_calls += 1;
    let matching = keys
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&query.prefix) && **key > query.after);
    let items: Vec<String> = matching
        .map(|(key, (value, revision))| keys.item(key, value, *revision))
        .collect();
    let truncated = items.len() > PAGE_ITEMS;
    let page = items[..items.len().min(PAGE_ITEMS)].join(",");
    let revision = keys.revision;
    json_response(format!(
        r#"{{"items":[{page}],"truncated":{truncated},"asOf":{revision}}}"#
    ))
}

async fn watch_changes(shared: web::Data<Shared>, query: Query<Watch>) -> HttpResponse {
    let mut changed = shared.changed.subscribe();
    let deadline = time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        changed.borrow_and_update();
        let (events, revision) = {
            let keys = shared.keys();
            if query.after < keys.compacted || query.after > keys.revision {
                return HttpResponse::Gone().finish();
            }
            let events: Vec<String> = keys
                .history
                .iter()
                .filter(|(revision, key, _)| {
                    *revision > query.after && key.starts_with(&query.prefix)
                })
                .map(|(revision, key, value)| match value {
                    Some(value) => keys.item(key, value, *revision),
                    None => json!({ "key": key, "rev": revision, "removed": true }).to_string(),
                })
                .collect();
            (events, keys.revision)
        };
        if !events.is_empty() || time::timeout_at(deadline, changed.changed()).await.is_err() {
            let events = events.join(",");
            return json_response(format!(r#"{{"events":[{events}],"asOf":{revision}}}"#));
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Txn {
    #[serde(default)]
    set_keys: Vec<SetKey>,
}

#[derive(Deserialize)]
struct SetKey {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

async fn commit(shared: web::Data<Shared>, txn: web::Json<Txn>) -> HttpResponse {
    for set in &txn.set_keys {
        let Ok(value) = STANDARD.decode(&set.value) else {
            return HttpResponse::BadRequest().finish();
        };
        if set.lease != 0 {
            let mut keys = shared.keys();
            let Some(leased) = keys.leases.get_mut(&set.lease) else {
                return HttpResponse::NotFound().finish();
            };
            leased.push(set.key.clone());
        }
        shared.apply(&set.key, Some(value));
    }
    HttpResponse::Ok().json(json!({ "rev": shared.keys().revision }))
}

async fn grant(shared: web::Data<Shared>) -> HttpResponse {
    let mut keys = shared.keys();
    keys.last_lease += 1;
    let lease = keys.last_lease;
    keys.leases.insert(lease, Vec::new());
    HttpResponse::Ok().json(json!({ "lease": lease, "ttlMs": 15_000 }))
}

async fn renew(shared: web::Data<Shared>, lease: web::Path<u64>) -> HttpResponse {
    if shared.keys().leases.contains_key(&lease) {
        HttpResponse::Ok().json(json!({ "ttlMs": 15_000 }))
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn revoke(shared: web::Data<Shared>, lease: web::Path<u64>) -> HttpResponse {
    let Some(leased) = shared.keys().leases.remove(&lease) else {
        return HttpResponse::NotFound().finish();
    };
    for key in leased {
        shared.apply(&key, None);
    }
    HttpResponse::Ok().json(json!({}))
}
