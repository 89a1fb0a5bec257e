use std::{
    fmt,
    net::SocketAddr,
    rc::Rc,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::http::{Method, header::HeaderMap};
use bytes::Bytes;
use futures_util::{future::LocalBoxFuture, stream::LocalBoxStream};

use super::{EventId, Result};
use crate::{
    customer::Customer,
    directory::Instance,
    dispatch::{Load, Permit},
    error::{Error, Kind},
    id,
    notice::Notice,
    unit::Tokens,
    upstream::{self, Framing},
};

/// Token counts of a generation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the whole prompt.
    pub prompt: Tokens,
    /// Limit of the output tokens.
    pub max_output: Tokens,
    /// Prompt tokens in the prefix that other requests share, at most `prompt`.
    pub shared: Tokens,
    /// Hash that identifies the shared prefix; `None` without one.
    pub affinity: Option<u64>,
}

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id that the caller set; a retry by the caller has another one.
    pub id: Option<id::Call>,
    /// Passed to the endpoint unchanged.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Headers that are passed to the endpoint unchanged.
    pub headers: HeaderMap,
    /// The complete body; requests are not streamed.
    pub body: Bytes,
    /// When the request arrived.
    pub arrived: Instant,
    /// How long the caller waits, counted from `arrived`; `None` means the timeout of the route.
    pub timeout: Option<Duration>,
    /// Set for a request to a model.
    pub generation: Option<Generation>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Arc<[id::PromptPart]>,
    /// The last event that the caller received, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// The customer whose key the request has.
    pub customer: Option<Arc<Customer>>,
}

/// Identifies a KV cache within the engine that holds it: 1 to 128 printable ASCII characters
/// other than `/`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KvHandle(String);

impl fmt::Display for KvHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KvHandle {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let valid = (1..=128).contains(&text.len())
            && text
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b'/');
        if valid {
            Ok(Self(text.to_owned()))
        } else {
            Err(Error::new(Kind::EndpointFailed, "invalid KV cache handle"))
        }
    }
}

/// A KV cache that an engine holds for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    /// Address of the engine.
    pub source: SocketAddr,
    /// Identifies the cache at that engine.
    pub handle: KvHandle,
}

/// The part of a request that an endpoint executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The whole request.
    Whole,
    /// Processes the prompt and keeps the KV cache. The request does not count as run.
    Prefill,
    /// Runs the request from a KV cache that another engine filled.
    Decode(KvCache),
}

/// One attempt to run a request, or a step of it, at an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request, shared by all of its attempts.
    pub call: Rc<Call>,
    /// The endpoint to send to.
    pub instance: Arc<Instance>,
    /// Whether the endpoint still takes requests when this one is sent.
    pub permit: Permit,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// The part to execute.
    pub step: Step,
    /// Engine that transfers its copy of the shared prefix to the endpoint.
    pub fetch_from: Option<SocketAddr>,
    /// The last event that was received, if a stream is resumed.
    pub resume_after: Option<EventId>,
    /// Whether an earlier attempt was sent to the same address. A copy of its answer has the id of this
    /// one, too, so both must not share a connection.
    pub repeats_address: bool,
}

/// Whether a request was executed, according to the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// It has run or may have run.
    MayHaveRun,
    /// It has not run and will not.
    Rejected,
    /// It has not run, because another instance has taken over the address.
    Replaced,
}

/// The response of an endpoint.
#[derive(Debug)]
pub struct EndpointResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, which are passed to the caller.
    pub headers: HeaderMap,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Whether the request was executed.
    pub execution: Execution,
    /// What the endpoint says of itself.
    pub notice: Notice,
    /// Load of the endpoint, if it reported one.
    pub load: Option<Load>,
    /// The KV cache that the engine keeps after a successful prefill step.
    pub cache: Option<KvHandle>,
    /// Dropping it before its end cancels the request.
    pub body: upstream::Body,
}

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The endpoint did not receive the request.
    NotSent(String),
    /// The host refused the connection: the endpoint does not run.
    Refused(String),
    /// It was not sent, since the endpoint takes no new requests any more.
    Withheld,
    /// The endpoint left before the end of the request was sent. It may run what it has received.
    Interrupted(String),
    /// The endpoint may have received the request.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail)
            | Self::Refused(detail)
            | Self::Interrupted(detail)
            | Self::Lost(detail) => f.write_str(detail),
            Self::Withheld => f.write_str("the endpoint takes no new requests"),
        }
    }
}

/// Sends requests to endpoints. Dropping the future or the response cancels the request.
pub trait Upstream: fmt::Debug {
    /// Sends a request, or a step of it, and waits for the head of the response.
    fn send(
        &self,
        attempt: Attempt,
    ) -> LocalBoxFuture<'_, std::result::Result<EndpointResponse, SendError>>;

    /// Frees an unused KV cache in the background, if its engine takes requests.
    fn release_cache(&self, cache: KvCache, permit: Permit);

    /// Opens a connection for a test, and returns whether it was refused: nothing listens at the
    /// address. An address that does not answer has not refused.
    fn refuses_connections(&self, address: SocketAddr) -> LocalBoxFuture<'static, bool>;
}

/// The response to a caller.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers of the endpoint's response. A `Content-Length` is only among them if there
    /// is no body.
    pub headers: HeaderMap,
    /// How the end of the body is found, whichever way it is sent to the caller.
    pub framing: Framing,
    /// The body. It ends with an error if it is truncated.
    pub body: LocalBoxStream<'static, Result<Bytes>>,
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response")
            .field("status", &self.status)
            .field("framing", &self.framing)
            .finish_non_exhaustive()
    }
}
