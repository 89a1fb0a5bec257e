use std::fmt;

use actix::Recipient;
use actix_web::{
    HttpRequest, HttpResponse,
    http::header,
    web::{self, ServiceConfig},
};
use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use super::{
    Result, auth,
    imp::{Context, resource},
    problem, receive,
};
use crate::{
    config::Section,
    error::{Error, Kind},
    id::{Editor, Endpoint, Revision},
    operator::{Create, Drain, Put, Read, SectionText, Snapshot, Status, StatusReport},
    unit::Bytes,
};

/// Largest section that is read. It exceeds the largest value of the store, so that an oversized
/// section is rejected by the checks of the edit, which name the fault.
const SECTION_MAX: Bytes = Bytes::new(2 << 20);

/// Key and message recipients of the operator API.
#[derive(Clone)]
pub struct Ports {
    /// SHA-256 of the operators' bearer key, in hexadecimal, as set in the settings of the entry.
    pub key_sha256: String,
    /// Reads all sections of the document.
    pub read: Recipient<Read>,
    /// Replaces one section.
    pub put: Recipient<Put>,
    /// Creates the first document.
    pub create: Recipient<Create>,
    /// Drains or resumes an endpoint.
    pub drain: Recipient<Drain>,
    /// Reports the revision, endpoints, authority and request counts of the entry.
    pub status: Recipient<Status>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

pub(super) fn routes(app: &mut ServiceConfig) {
    app.service(
        resource("/operator/v1/config")
            .route(web::get().to(read_document))
            .route(web::put().to(put_document)),
    )
    .service(resource("/operator/v1/config/watch").route(web::get().to(watch_revisions)))
    .service(
        resource("/operator/v1/config/{section}")
            .route(web::get().to(read_section))
            .route(web::put().to(put_section)),
    )
    .service(resource("/operator/v1/status").route(web::get().to(status)))
    .service(resource("/operator/v1/drain/{endpoint}").route(web::post().to(drain)));
}

fn check_key(context: &Context, request: &HttpRequest) -> Result<()> {
    let hash = auth::hash_key(auth::bearer_key(request.headers())?);
    if auth::hashes_match(&hash, &context.operator.key_sha256) {
        Ok(())
    } else {
        Err(Error::new(
            Kind::Unauthenticated,
            "the operator key is unknown",
        ))
    }
}

fn mailbox_closed(_error: actix::MailboxError) -> Error {
    Error::new(Kind::Leaving, "the entry is stopping")
}

fn json_response<T: Serialize>(result: Result<T>) -> HttpResponse {
    match result {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(error) => problem::respond(&error),
    }
}

async fn read_document(context: web::Data<Context>, request: HttpRequest) -> HttpResponse {
    json_response(read_all(&context, &request).await)
}

async fn read_all(context: &Context, request: &HttpRequest) -> Result<Snapshot> {
    check_key(context, request)?;
    context
        .operator
        .read
        .send(Read)
        .await
        .map_err(mailbox_closed)?
}

async fn read_section(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    let read = async {
        let section: Section = path.parse()?;
        let mut snapshot = read_all(&context, &request).await?;
        let missing = || Error::new(Kind::NotFound, "the section was never written");
        snapshot
            .sections
            .remove(section.as_str())
            .ok_or_else(missing)
    };
    json_response::<SectionText>(read.await)
}

/// Query parameters of a section edit.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditQuery {
    base: Revision,
    editor: Editor,
}

/// Response to an accepted edit.
#[derive(Serialize)]
struct Accepted {
    revision: Revision,
}

async fn put_section(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<String>,
    payload: web::Payload,
) -> HttpResponse {
    json_response(put(&context, &request, &path, payload).await)
}

async fn put(
    context: &Context,
    request: &HttpRequest,
    section: &str,
    payload: web::Payload,
) -> Result<Accepted> {
    check_key(context, request)?;
    let section = section.parse()?;
    let EditQuery { base, editor } = query(request)?;
    let text = read_text(payload).await?;
    let edit = Put {
        section,
        text,
        base,
        editor,
    };
    let revision = context
        .operator
        .put
        .send(edit)
        .await
        .map_err(mailbox_closed)??;
    Ok(Accepted { revision })
}

async fn read_text(payload: web::Payload) -> Result<String> {
    String::from_utf8(receive::read_body(payload, SECTION_MAX).await?.to_vec())
        .map_err(|_error| Error::new(Kind::BadRequest, "the text is not UTF-8"))
}

/// Query parameters for creating the first document.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateQuery {
    editor: Editor,
}

async fn put_document(
    context: web::Data<Context>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    json_response(create(&context, &request, payload).await)
}

async fn create(
    context: &Context,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<Accepted> {
    check_key(context, request)?;
    let CreateQuery { editor } = query(request)?;
    let text = read_text(payload).await?;
    let create = Create { text, editor };
    let revision = context
        .operator
        .create
        .send(create)
        .await
        .map_err(mailbox_closed)??;
    Ok(Accepted { revision })
}

fn query<T: DeserializeOwned>(request: &HttpRequest) -> Result<T> {
    let query = web::Query::<T>::from_query(request.query_string());
    query.map(web::Query::into_inner).map_err(|error| {
        Error::new(
            Kind::BadRequest,
            format!("the query is not as expected: {error}"),
        )
    })
}

async fn status(context: web::Data<Context>, request: HttpRequest) -> HttpResponse {
    let status = async {
        check_key(&context, &request)?;
        context
            .operator
            .status
            .send(Status)
            .await
            .map_err(mailbox_closed)?
    };
    json_response::<StatusReport>(status.await)
}

/// Query parameters of a drain request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainQuery {
    #[serde(default)]
    resume: bool,
}

async fn drain(
    context: web::Data<Context>,
    request: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    let drain = async {
        check_key(&context, &request)?;
        let endpoint: Endpoint = path
            .parse()
            .map_err(|error| Error::new(Kind::BadRequest, format!("{error}")))?;
        let DrainQuery { resume } = query(&request)?;
        let message = Drain {
            endpoint,
            drain: !resume,
        };
        context
            .operator
            .drain
            .send(message)
            .await
            .map_err(mailbox_closed)?
    };
    match drain.await {
        Ok(()) => HttpResponse::Accepted().finish(),
        Err(error) => problem::respond(&error),
    }
}

/// Streams one JSON line for the current revision and for each one that this entry adopts later.
async fn watch_revisions(context: web::Data<Context>, request: HttpRequest) -> HttpResponse {
    if let Err(error) = check_key(&context, &request) {
        return problem::respond(&error);
    }
    let (view, stopping) = (context.view.revision.clone(), context.stopping.clone());
    HttpResponse::Ok()
        .insert_header((header::CONTENT_TYPE, "application/x-ndjson"))
        .streaming(revisions(view, stopping))
}

/// Ends when the entry shuts down. A watch has no end of its own and would delay the shutdown.
fn revisions(
    mut view: watch::Receiver<Revision>,
    stopping: watch::Receiver<bool>,
) -> impl Stream<Item = std::result::Result<web::Bytes, actix_web::Error>> {
    view.mark_changed();
    stream::unfold((view, stopping), |(mut view, mut stopping)| async move {
        tokio::select! {
            changed = view.changed() => changed.ok()?,
            // Also completes with an error if the sender is dropped.
            _stopped = stopping.wait_for(|stopping| *stopping) => return None,
        }
        let revision = *view.borrow_and_update();
        let line = format!("{{\"revision\":{revision}}}\n");
        Some((Ok(web::Bytes::from(line)), (view, stopping)))
    })
}
