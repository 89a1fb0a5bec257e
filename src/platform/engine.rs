use std::{net::SocketAddr, time::Duration};

use actix_http::{RequestHead, ResponseHead};
use actix_web::http::{
    Method, Uri,
    header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;
use tokio::{task, time};

use super::{ingress::text, names};
use crate::{
    dispatch::Load,
    forward::{Cache, Failure, Handle, Job, Reply, Step, Upstream, Verdict},
    upstream::{self, Body, Kind, Pool},
};

/// Largest answer to a prefill request, a small object.
const PREFILL_ANSWER_MAX: usize = 64 << 10;
/// Limit of the call that frees a KV cache. An engine frees it by itself after some seconds.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);
/// Least urgent rank on the wire.
const RANK_MAX: u8 = 9;

/// Client of the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pool: Pool,
}

/// Answer to a prefill request.
#[derive(Deserialize)]
struct Prefilled {
    handle: String,
}

impl Engine {
    /// A client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    async fn exchange(&self, job: Job) -> Result<Reply, Failure> {
        let head = encode(&job)?;
        let body = job.call.body.clone();
        let response = self.pool.send(job.instance.address, head, body).await;
        let response = response.map_err(|error| failure(&error))?;
        let mut reply = decode(response, &job)?;
        if job.step == Step::Prefill && reply.status == 200 {
            let body = reply.body.collect(PREFILL_ANSWER_MAX).await;
            let body = body.map_err(|error| failure(&error))?;
            let prefilled: Prefilled = serde_json::from_slice(&body)
                .map_err(|error| Failure::Lost(format!("malformed prefill answer: {error}")))?;
            let handle: Handle = prefilled
                .handle
                .parse()
                .map_err(|error| Failure::Lost(format!("malformed prefill answer: {error}")))?;
            reply.cache = Some(handle);
        }
        Ok(reply)
    }
}

impl Upstream for Engine {
    fn send(&self, job: Job) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        self.exchange(job).boxed_local()
    }

    fn release(&self, cache: Cache) {
        let pool = self.pool.clone();
        task::spawn_local(async move {
            let target = format!("{}/{}", names::KV_HANDLE, cache.handle);
            let freed = time::timeout(RELEASE_LIMIT, async {
                let head = head(Method::DELETE, &target, cache.source, HeaderMap::new())?;
                pool.send(cache.source, head, Bytes::new())
                    .await
                    .map_err(|error| failure(&error))
            })
            .await;
            match freed {
                Ok(Ok(mut response)) => {
                    // Read to its end, so that the connection can be used again.
                    if let Err(error) = response.body.collect(PREFILL_ANSWER_MAX).await {
                        log::debug!(error:% = error; "answer to a freed KV cache was cut off");
                    }
                }
                Ok(Err(failure)) => {
                    log::info!(engine:% = cache.source, error:% = failure;
                        "KV cache was not freed; it expires by itself");
                }
                Err(_elapsed) => {
                    log::info!(engine:% = cache.source;
                        "KV cache was not freed in time; it expires by itself");
                }
            }
        });
    }
}

fn encode(job: &Job) -> Result<RequestHead, Failure> {
    let mut headers = job.call.headers.clone();
    let mut set = |name: &'static str, value: String| {
        let value = HeaderValue::from_str(&value)
            .map_err(|error| Failure::NotSent(format!("{name} cannot be written: {error}")))?;
        headers.insert(HeaderName::from_static(name), value);
        Ok(())
    };
    set(names::DEADLINE_MS, job.left.as_millis().to_string())?;
    set(names::EXPECT_INSTANCE, job.instance.id.to_string())?;
    if job.call.generation.is_some() {
        set(names::PRIORITY, job.rank.min(RANK_MAX).to_string())?;
    }
    match &job.step {
        Step::Whole => {}
        Step::Prefill => set(names::STAGE, "prefill".to_owned())?,
        Step::Decode(cache) => {
            set(
                names::KV_SOURCE,
                format!("{}/{}", cache.source, cache.handle),
            )?;
        }
    }
    if let Some(last) = job.resume_after {
        set(names::LAST_EVENT_ID, last.to_string())?;
    }
    head(
        job.call.method.clone(),
        &job.call.target,
        job.instance.address,
        headers,
    )
}

fn head(
    method: Method,
    target: &str,
    address: SocketAddr,
    mut headers: HeaderMap,
) -> Result<RequestHead, Failure> {
    let uri: Uri = target
        .parse()
        .map_err(|error| Failure::NotSent(format!("the target cannot be written: {error}")))?;
    if !headers.contains_key("host") {
        let host = HeaderValue::from_str(&address.to_string())
            .map_err(|error| Failure::NotSent(format!("the host cannot be written: {error}")))?;
        headers.insert(HeaderName::from_static("host"), host);
    }
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    Ok(head)
}

fn decode(response: upstream::Response, job: &Job) -> Result<Reply, Failure> {
    let upstream::Response { head, body } = response;
    let status = head.status.as_u16();
    let headers = head.headers();
    // An answer to an earlier request can arrive late, where this one's answer is due.
    let echoed = text(headers, names::REQUEST_ID);
    let sent = text(&job.call.headers, names::REQUEST_ID);
    if echoed.is_some() && echoed != sent {
        return Err(Failure::Lost(
            "the answer belongs to another request".to_owned(),
        ));
    }
    // The same status says that the endpoint is another one, or has another stage by now.
    let other = text(headers, names::INSTANCE).is_none_or(|id| id != job.instance.id.as_str());
    let verdict = if status == 421 && other {
        Verdict::Replaced
    } else if status == 421 || headers.contains_key(names::NOT_EXECUTED) {
        Verdict::Rejected
    } else {
        Verdict::Ran
    };
    Ok(reply(&head, body, verdict))
}

fn reply(head: &ResponseHead, body: Body, verdict: Verdict) -> Reply {
    let headers = head.headers();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let dropped = names::HOP_BY_HOP.contains(&name.as_str())
            || [names::LOAD, names::INSTANCE].contains(&name.as_str())
            || name == CONTENT_LENGTH;
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    Reply {
        status: head.status.as_u16(),
        headers: kept,
        length: text(headers, "content-length").and_then(|length| length.parse().ok()),
        verdict,
        load: text(headers, names::LOAD).and_then(load),
        cache: None,
        body,
    }
}

/// Running and waiting requests and slots.
fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

fn failure(error: &upstream::Error) -> Failure {
    match error.kind() {
        Kind::NotSent => Failure::NotSent(error.to_string()),
        Kind::Lost | Kind::Malformed => Failure::Lost(error.to_string()),
    }
}
