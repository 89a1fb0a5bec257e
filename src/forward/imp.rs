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
    directory::Instance,
    dispatch::Load,
    error::{Error, Kind},
    id,
    unit::Tokens,
    upstream,
};

/// What a request of a model asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Most output tokens.
    pub output: Tokens,
    /// Prompt tokens in parts that other requests share.
    pub shared: Tokens,
    /// Hash of the shared parts.
    pub affinity: Option<u64>,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's id for this attempt.
    pub id: Option<id::Call>,
    /// Method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Headers that go to the endpoint as they are.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the request arrived.
    pub arrived: Instant,
    /// How long the caller waits, from the arrival on.
    pub patience: Option<Duration>,
    /// For a request of a model: its size.
    pub generation: Option<Generation>,
    /// The last event that the caller has, if it continues a stream.
    pub resume_after: Option<EventId>,
}

/// Names a KV cache at the engine that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handle(String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Handle {
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
pub struct Cache {
    /// The engine.
    pub source: SocketAddr,
    /// The cache there.
    pub handle: Handle,
}

/// The part of a request that an endpoint does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// All of it.
    Whole,
    /// Only reads the prompt and keeps its KV cache. This does not run the request.
    Prefill,
    /// Runs the request from a KV cache.
    Decode(Cache),
}

/// What is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub call: Rc<Call>,
    /// The endpoint.
    pub instance: Arc<Instance>,
    /// Time that is left.
    pub left: Duration,
    /// Urgency, 0 first.
    pub rank: u8,
    /// The part to do.
    pub step: Step,
    /// The last event that is known, if a stream is continued.
    pub resume_after: Option<EventId>,
}

/// What an answer says on whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It has run, or may have.
    Ran,
    /// It has not run and will not.
    Rejected,
    /// It has not run: another instance has the address.
    Replaced,
}

/// An answer of an endpoint.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Length of the body, if it is known.
    pub length: Option<u64>,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Load of the endpoint.
    pub load: Option<Load>,
    /// The KV cache that a prefill step left.
    pub cache: Option<Handle>,
    /// The body.
    pub body: upstream::Body,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint certainly did not get the request.
    NotSent(String),
    /// The endpoint may have got the request.
    Lost(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) | Self::Lost(detail) => f.write_str(detail),
        }
    }
}

/// Sends requests to endpoints. Dropping the future or the reply cancels the request.
pub trait Upstream: fmt::Debug {
    /// Sends a request, or a part of it.
    fn send(&self, job: Job) -> LocalBoxFuture<'_, std::result::Result<Reply, Failure>>;

    /// Frees a KV cache that nobody will use, without waiting.
    fn release(&self, cache: Cache);
}

/// The answer for a caller.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Length of the body, if it is known.
    pub length: Option<u64>,
    /// The body. An error means that it is cut off.
    pub body: LocalBoxStream<'static, Result<Bytes>>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
