use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether the operation of a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was not executed and will not be.
    No,
    /// It was executed.
    Yes,
    /// It may have been executed.
    Unknown,
}

impl fmt::Display for Executed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

/// Response to a caller for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Last part of the problem type URI, and the `kind` label in log lines and metrics.
    pub slug: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Short human-readable summary, the same for every error of the kind.
    pub title: &'static str,
    /// Default execution state, unless set by [`Error::with_executed`].
    pub executed: Executed,
    /// Delay after which a retry can succeed; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

/// Declares the kinds together with their table, so that every kind has an entry.
macro_rules! kinds {
    ($(
        $(#[$doc:meta])*
        $kind:ident => $slug:literal, $status:literal, $title:literal, $executed:ident, $retry:expr;
    )*) => {
        /// A kind of error.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// Returns the response for this kind.
            #[must_use]
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        slug: $slug,
                        status: $status,
                        title: $title,
                        executed: Executed::$executed,
                        retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

const SHORT_DELAY: Option<Duration> = Some(Duration::from_secs(1));
const LONG_DELAY: Option<Duration> = Some(Duration::from_secs(5));

kinds! {
    /// The request is not well formed.
    BadRequest => "bad-request", 400, "The request is not valid", No, None;
    /// The operation is not repeatable and the request has no idempotency key.
    KeyRequired => "key-required", 400, "An Idempotency-Key header is required", No, None;
    /// The bearer key is missing or unknown.
    Unauthenticated => "unauthenticated", 401, "The bearer key is missing or unknown", No, None;
    /// The caller may not use this class, model or service.
    Forbidden => "forbidden", 403, "The caller may not do this", No, None;
    /// The path, model, service, operation, section or key does not exist.
    NotFound => "not-found", 404, "Not found", No, None;
    /// The path exists, but does not support the method.
    MethodNotAllowed => "method-not-allowed", 405, "The method is not allowed here", No, None;
    /// The request head exceeds the size limit.
    HeadTooLarge => "head-too-large", 431, "The request head is too large", No, None;
    /// The request was not received before the timeout.
    RequestTimeout => "request-timeout", 408, "The request was not received in time", No, None;
    /// The idempotency key was used with another body.
    KeyReused => "key-reused", 409, "The idempotency key belongs to another request", No, None;
    /// A request with the same idempotency key is in progress.
    InProgress => "in-progress", 409, "The first request with this key is in progress",
        Unknown, SHORT_DELAY;
    /// Another edit of the section was accepted first.
    EditConflict => "edit-conflict", 409, "Another edit was accepted first", No, None;
    /// The order has a lower fencing number than an earlier one.
    StaleFence => "stale-fence", 409, "The order comes from a former holder", No, None;
    /// The endpoint is busy with another order.
    OrderInProgress => "order-in-progress", 409, "Another order is in progress", No, SHORT_DELAY;
    /// A body, prompt, answer or stored value exceeds its size limit.
    TooLarge => "too-large", 413, "The request is too large", No, None;
    /// The configuration document is not valid.
    InvalidDocument => "invalid-document", 422, "The document has faults", No, None;
    /// The caller exceeds its own rate or concurrency limit.
    RateLimited => "rate-limited", 429, "The caller is over its limit", No, SHORT_DELAY;
    /// The latency target of the class cannot be met at the current load.
    Overloaded => "overloaded", 503, "The target of the class cannot be met now", No, SHORT_DELAY;
    /// No endpoint can serve the request.
    NoEndpoint => "no-endpoint", 503, "No endpoint can take the request", No, SHORT_DELAY;
    /// All endpoints that could serve the request have asked for a pause.
    Paused => "paused", 503, "All endpoints have asked for a pause", No, SHORT_DELAY;
    /// The prompt has a part that was running when engines ended.
    Quarantined => "quarantined", 503, "A part of the prompt has ended engines", No, LONG_DELAY;
    /// The process is shutting down, or the endpoint is draining.
    Leaving => "leaving", 503, "The process is shutting down", No, SHORT_DELAY;
    /// The attempt was addressed to an earlier incarnation of the agent.
    WrongIncarnation => "wrong-incarnation", 503, "The agent was restarted", No, SHORT_DELAY;
    /// The platform store cannot be reached.
    StoreUnavailable => "store-unavailable", 503, "The platform store cannot be reached",
        No, LONG_DELAY;
    /// The platform store was restored from an older copy since the read that a call continues.
    StoreRestored => "store-restored", 503, "The platform store was restored", No, SHORT_DELAY;
    /// The process has not received a configuration document yet.
    NotReady => "not-ready", 503, "No configuration is in force yet", No, SHORT_DELAY;
    /// The endpoint answered with an error.
    EndpointFailed => "endpoint-failed", 502, "The endpoint failed", Unknown, None;
    /// The connection to the agent or the endpoint was lost.
    EndpointLost => "endpoint-lost", 502, "The endpoint was lost", Unknown, None;
    /// The answer was not complete before the deadline.
    Deadline => "deadline", 504, "The answer was not complete in time", Unknown, None;
    /// A response of the store was lost and the effect of the write could not be determined.
    Unsettled => "unsettled", 504, "The outcome is not known", Unknown, LONG_DELAY;
    /// An internal fault.
    Internal => "internal", 500, "Internal error", Unknown, None;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().slug)
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL.iter().find(|kind| kind.answer().slug == text);
        found
            .copied()
            .ok_or_else(|| Error::new(Self::BadRequest, "unknown error kind"))
    }
}

/// An error with its kind, execution state and a detail for the caller.
#[derive(Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    kind: Kind,
    executed: Executed,
    detail: String,
    retry_after: Option<Duration>,
    source: Option<Box<dyn std::error::Error + Send + Sync>>,
}

impl Error {
    /// Creates an error with the default execution state and retry delay of its kind.
    ///
    /// `detail` is shown to the caller and must not contain prompts, bearer keys or personal data.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        let answer = kind.answer();
        Self {
            inner: Box::new(Inner {
                kind,
                executed: answer.executed,
                detail: detail.into(),
                retry_after: answer.retry_after,
                source: None,
            }),
        }
    }

    /// Overrides the execution state, where the code that creates the error knows it better.
    #[must_use]
    pub fn with_executed(mut self, executed: Executed) -> Self {
        self.inner.executed = executed;
        self
    }

    /// Overrides the delay after which a retry can succeed.
    #[must_use]
    pub fn with_retry_after(mut self, period: Duration) -> Self {
        self.inner.retry_after = Some(period);
        self
    }

    /// Sets the underlying error, which [`source`](std::error::Error::source) returns. It is not
    /// sent to the caller.
    #[must_use]
    pub fn with_source(
        mut self,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        self.inner.source = Some(source.into());
        self
    }

    /// Returns the kind, which selects the HTTP status and problem type.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.inner.kind
    }

    /// Returns whether the operation was executed.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.inner.executed
    }

    /// Returns the description of the error for the caller.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.inner.detail
    }

    /// Returns the delay after which a retry can succeed.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.inner.retry_after
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.inner.kind, self.inner.detail)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.inner.source.as_deref().map(|source| source as _)
    }
}
