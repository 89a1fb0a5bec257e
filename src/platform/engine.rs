use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{RequestHead, ResponseHead};
use actix_web::http::{
    Method, StatusCode, Uri,
    header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;
use tokio::{net::TcpStream, task, time};

use super::{ingress::header_text, names};
use crate::{
    dispatch::{Load, Permit},
    forward::{
        Attempt, Call, EndpointResponse, Execution, KvCache, KvHandle, SendError, Step, Upstream,
    },
    memory::Pool,
    notice::{Notice, Pause, Standing},
    unit::{self, Slowdown},
    upstream::{self, Body, Client, Framing, Kind},
};

/// Largest response to a prefill request, in bytes; it is a small JSON object.
const PREFILL_RESPONSE_MAX: usize = 64 << 10;
/// Timeout of the call that frees a KV cache. Without it the cache expires in the engine after some
/// seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of a test whether an endpoint listens; a host without a listener refuses within a round
/// trip.
const LISTEN_TEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Characters of a request id in an error; ids of callers are shorter.
const ID_LOGGED_MAX: usize = 64;
/// Characters of a load report in the log that cannot be parsed.
const LOAD_LOGGED_MAX: usize = 64;
/// Least urgent priority in the protocol.
const RANK_MAX: u8 = 9;

/// HTTP client of the endpoints. Clones share its connections.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    client: Client,
    /// Opens a connection for each attempt, of which none has served an earlier one.
    unshared: Client,
}

/// Response to a prefill request.
#[derive(Deserialize)]
struct PrefillResponse {
    handle: String,
}

impl EndpointClient {
    /// Creates a client that holds up to `buffers` of answers; connections are opened on demand.
    #[must_use]
    pub fn new(buffers: unit::Bytes) -> Self {
        let pool = Pool::new("answers", buffers);
        Self {
            client: Client::new().with_pool(pool.clone()),
            unshared: Client::without_reuse().with_pool(pool),
        }
    }

    async fn send_attempt(&self, attempt: Attempt) -> Result<EndpointResponse, SendError> {
        let head = encode(&attempt)?;
        let body = attempt.call.body.clone();
        let address = attempt.instance.address;
        let gate = Rc::new(EndpointGate {
            permit: attempt.permit.clone(),
            call: Some(Rc::clone(&attempt.call)),
            client: self.client.clone(),
        });
        let client = if attempt.repeats_address {
            &self.unshared
        } else {
            &self.client
        };
        let response = client.send_through(gate, address, head, body).await;
        let response = response.map_err(|error| to_send_error(&error))?;
        let mut response = decode(response, &attempt)?;
        if attempt.step == Step::Prefill && response.status == 200 {
            let body = response.body.collect(PREFILL_RESPONSE_MAX).await;
            let body = body.map_err(|error| to_send_error(&error))?;
            let prefilled: PrefillResponse = serde_json::from_slice(&body)
                .map_err(|error| SendError::Lost(format!("malformed prefill answer: {error}")))?;
            let handle: KvHandle = prefilled
                .handle
                .parse()
                .map_err(|error| SendError::Lost(format!("malformed prefill answer: {error}")))?;
            response.cache = Some(handle);
        }
        Ok(response)
    }
}

impl Upstream for EndpointClient {
    fn send(&self, attempt: Attempt) -> LocalBoxFuture<'_, Result<EndpointResponse, SendError>> {
        self.send_attempt(attempt).boxed_local()
    }

    fn release_cache(&self, cache: KvCache, permit: Permit) {
        let client = self.client.clone();
        let gate = Rc::new(EndpointGate {
            permit,
            call: None,
            client: client.clone(),
        });
        task::spawn_local(async move {
            let target = format!("{}/{}", names::KV_HANDLE, cache.handle);
            let freed = time::timeout(RELEASE_TIMEOUT, async {
                let head = request_head(Method::DELETE, &target, cache.source, HeaderMap::new())?;
                client
                    .send_through(gate, cache.source, head, Bytes::new())
                    .await
                    .map_err(|error| to_send_error(&error))
            })
            .await;
            match freed {
                Ok(Ok(mut response)) => {
                    // Reads the body to its end, so that the connection can be reused.
                    if let Err(error) = response.body.collect(PREFILL_RESPONSE_MAX).await {
                        log::debug!(error:% = error; "KV cache release: response truncated");
                    }
                }
                Ok(Err(error)) => {
                    log::info!(engine:% = cache.source, error:% = error;
                        "KV cache was not freed; it expires by itself");
                }
                Err(_elapsed) => {
                    log::info!(engine:% = cache.source;
                        "KV cache was not freed in time; it expires by itself");
                }
            }
        });
    }

    fn refuses_connections(&self, address: SocketAddr) -> LocalBoxFuture<'static, bool> {
        async move {
            let opened = time::timeout(LISTEN_TEST_TIMEOUT, TcpStream::connect(address)).await;
            matches!(opened, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
        }
        .boxed_local()
    }
}

/// Stops requests to an endpoint that has closed, and reports what it says of itself.
#[derive(Debug)]
struct EndpointGate {
    permit: Permit,
    /// The request of a caller; `None` for a call of this process.
    call: Option<Rc<Call>>,
    client: Client,
}

impl upstream::Gate for EndpointGate {
    fn may_send(&self) -> bool {
        self.permit.admit() == Standing::Open
    }

    fn revoked(&self) -> LocalBoxFuture<'static, ()> {
        self.permit.closed().boxed_local()
    }

    fn on_head(&self, head: &ResponseHead, reused: bool) -> bool {
        let headers = head.headers();
        let instance = self.permit.instance();
        let sent = self
            .call
            .as_ref()
            .and_then(|call| header_text(&call.headers, names::REQUEST_ID));
        // The answer of another instance that has the address now says nothing of this one. The answer
        // that belongs to the request is still due after a copy of an earlier one, and would be that of
        // the next request.
        let echoed = header_text(headers, names::REQUEST_ID);
        let in_step = match echoed {
            Some(_) => echoed == sent,
            None => sent.is_none() || !reused,
        };
        let is_copy = echoed.is_some() && !in_step;
        let is_other = header_text(headers, names::INSTANCE_ID).map_or_else(
            || head.status == StatusCode::MISDIRECTED_REQUEST,
            |id| id != instance.id.as_str(),
        );
        if is_other {
            return in_step;
        }
        let mut notice = decode_notice(head);
        if is_copy {
            // A pause counts from the earlier answer. An endpoint that leaves does so for good.
            notice.pause = None;
        }
        let unreadable = headers
            .get(RETRY_AFTER)
            .filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE)
            .filter(|_| notice.pause.is_none() && !is_copy);
        if let Some(value) = unreadable {
            log::info!(endpoint:% = instance.id, value:? = value;
                "endpoint asked for a pause that is not a number of seconds; ignored");
        }
        if notice.leaving {
            self.client.close_idle(instance.address);
        }
        let call = self.call.as_ref().and_then(|call| call.id.clone());
        self.permit.record(notice, call);
        in_step && !notice.leaving
    }
}

/// Decodes what an endpoint says of itself. Of several pauses the longest counts; one that cannot be
/// read is ignored.
pub(super) fn decode_notice(head: &ResponseHead) -> Notice {
    let headers = head.headers();
    let leaving = headers
        .get_all(names::SERVER_LEAVING)
        .any(|value| value == "1");
    let values = headers.get_all(RETRY_AFTER);
    let pause = Pause::longest(values.filter_map(|value| value.to_str().ok()));
    let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE;
    Notice {
        leaving,
        pause: pause.filter(|_| is_refusal),
    }
}

fn encode(attempt: &Attempt) -> Result<RequestHead, SendError> {
    let mut headers = attempt.call.headers.clone();
    let mut set = |name: &'static str, value: String| {
        let value = HeaderValue::from_str(&value)
            .map_err(|error| SendError::NotSent(format!("{name} cannot be written: {error}")))?;
        headers.insert(HeaderName::from_static(name), value);
        Ok(())
    };
    set(
        names::DEADLINE_MS,
        attempt.remaining.as_millis().to_string(),
    )?;
    set(names::EXPECT_INSTANCE, attempt.instance.id.to_string())?;
    if let Some(customer) = &attempt.call.customer {
        set(names::TENANT, customer.name.to_string())?;
    }
    if attempt.call.generation.is_some() {
        set(
            names::REQUEST_PRIORITY,
            attempt.rank.min(RANK_MAX).to_string(),
        )?;
    }
    match &attempt.step {
        Step::Whole => {}
        Step::Prefill => set(names::SERVING_STAGE, "prefill".to_owned())?,
        Step::Decode(cache) => {
            set(
                names::KV_SOURCE,
                format!("{}/{}", cache.source, cache.handle),
            )?;
        }
    }
    if let Some(source) = attempt.fetch_from {
        set(names::KV_FETCH, source.to_string())?;
    }
    if let Some(last) = attempt.resume_after {
        set(names::LAST_EVENT_ID, last.to_string())?;
    }
    request_head(
        attempt.call.method.clone(),
        &attempt.call.target,
        attempt.instance.address,
        headers,
    )
}

fn request_head(
    method: Method,
    target: &str,
    address: SocketAddr,
    mut headers: HeaderMap,
) -> Result<RequestHead, SendError> {
    let uri: Uri = target
        .parse()
        .map_err(|error| SendError::NotSent(format!("the target cannot be written: {error}")))?;
    if !headers.contains_key("host") {
        let host = HeaderValue::from_str(&address.to_string())
            .map_err(|error| SendError::NotSent(format!("the host cannot be written: {error}")))?;
        headers.insert(HeaderName::from_static("host"), host);
    }
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    Ok(head)
}

fn decode(response: upstream::Response, attempt: &Attempt) -> Result<EndpointResponse, SendError> {
    let upstream::Response {
        head,
        framing,
        body,
        reused,
    } = response;
    let status = head.status.as_u16();
    let headers = head.headers();
    let refuses = status == 421 || headers.contains_key(names::NOT_EXECUTED);
    // A copy of the response to an earlier request can arrive in place of the response to this one.
    let echoed = header_text(headers, names::REQUEST_ID);
    let sent = header_text(&attempt.call.headers, names::REQUEST_ID);
    let is_other = match echoed {
        Some(_) => echoed != sent,
        None => reused && (sent.is_some() || refuses),
    };
    if is_other {
        let id: String = echoed
            .unwrap_or("none")
            .chars()
            .take(ID_LOGGED_MAX)
            .collect();
        let detail = "the answer may belong to another request";
        return Err(SendError::Lost(format!(
            "{detail}: status {status}, id {id}"
        )));
    }
    // Status 421 means that another endpoint has the address, or that this one has changed its
    // stage.
    let other = header_text(headers, names::INSTANCE_ID)
        .is_none_or(|id| id != attempt.instance.id.as_str());
    let execution = if status == 421 && other {
        Execution::Replaced
    } else if refuses {
        Execution::Rejected
    } else {
        Execution::MayHaveRun
    };
    Ok(to_response(&head, framing, body, execution))
}

fn to_response(
    head: &ResponseHead,
    framing: Framing,
    body: Body,
    execution: Execution,
) -> EndpointResponse {
    let headers = head.headers();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let dropped = names::HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || [
                names::INSTANCE_LOAD,
                names::INSTANCE_ID,
                names::SERVER_LEAVING,
            ]
            .contains(&name.as_str())
            || (name == CONTENT_LENGTH && framing != Framing::Empty);
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    EndpointResponse {
        status: head.status.as_u16(),
        headers: kept,
        framing,
        execution,
        notice: decode_notice(head),
        load: header_text(headers, names::INSTANCE_LOAD).and_then(decode_load),
        cache: None,
        body,
    }
}

/// Parses a load report; one that cannot be parsed is counted and ignored.
pub(super) fn decode_load(text: &str) -> Option<Load> {
    let load = parse_load(text);
    if load.is_none() {
        metrics::counter!("load_reports_ignored_total").increment(1);
        let report: String = text.chars().take(LOAD_LOGGED_MAX).collect();
        log::debug!(report:% = report; "load report of an endpoint cannot be parsed");
    }
    load
}

/// Parses the numbers of running requests, waiting requests and slots, and the slowdown in percent if
/// there is one.
fn parse_load(text: &str) -> Option<Load> {
    let figures: Vec<&str> = text.split(',').map(str::trim).collect();
    let (&[running, waiting, slots], rest) = figures.split_first_chunk()?;
    let slowdown = match rest {
        [] => None,
        [percent] => Some(parse_slowdown(percent)?),
        _ => return None,
    };
    Some(Load {
        running: running.parse().ok()?,
        waiting: waiting.parse().ok()?,
        slots: slots.parse().ok()?,
        slowdown,
    })
}

/// Parses a slowdown in percent, fractions allowed. Work that takes no time is not possible.
fn parse_slowdown(text: &str) -> Option<Slowdown> {
    let percent: f64 = text.parse().ok()?;
    let percent = Some(percent).filter(|percent| percent.is_finite() && *percent > 0.0)?;
    let percent = u32::try_from(unit::round(percent)).unwrap_or(u32::MAX);
    Some(Slowdown::from_percent(percent))
}

fn to_send_error(error: &upstream::Error) -> SendError {
    match error.kind() {
        Kind::NotSent => SendError::NotSent(error.to_string()),
        Kind::Refused => SendError::Refused(error.to_string()),
        Kind::Withheld => SendError::Withheld,
        Kind::Interrupted => SendError::Interrupted(error.to_string()),
        Kind::Lost | Kind::Malformed | Kind::Exceeded => SendError::Lost(error.to_string()),
    }
}
