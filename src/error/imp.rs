use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether the operation of a failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It certainly did not run and never will.
    No,
    /// It ran.
    Yes,
    /// It may have run.
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

/// What a caller is told about an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Last part of the problem type URI; also the `kind` of log lines and metrics.
    pub slug: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Short text for people, the same for every error of the kind.
    pub title: &'static str,
    /// What the kind says about execution unless the error says otherwise.
    pub executed: Executed,
    /// When a retry can help.
    pub retry_after: Option<Duration>,
}

/// Declares the kinds and the table in one place, so that neither can miss an entry.
macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $slug:literal, $status:literal, $title:literal, $executed:ident, $retry:expr;)*) => {
        /// A kind of error. The list is closed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// The answer for this kind.
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

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));

kinds! {
    /// The request is not well formed.
    BadRequest => "bad-request", 400, "The request is not valid", No, None;
    /// The operation may not be repeated and the request names no idempotency key.
    KeyRequired => "key-required", 400, "An Idempotency-Key header is required", No, None;
    /// No key, or an unknown one.
    Unauthenticated => "unauthenticated", 401, "The bearer key is missing or unknown", No, None;
    /// The caller may not use this class, model or service.
    Forbidden => "forbidden", 403, "The caller may not do this", No, None;
    /// No such path, model, service, operation, section or key.
    NotFound => "not-found", 404, "Not found", No, None;
    /// The path exists with other methods.
    MethodNotAllowed => "method-not-allowed", 405, "The method is not allowed here", No, None;
    /// The head of the request is larger than allowed.
    HeadTooLarge => "head-too-large", 431, "The request head is too large", No, None;
    /// The request was not received in time.
    RequestTimeout => "request-timeout", 408, "The request was not received in time", No, None;
    /// The idempotency key was used with another body.
    KeyReused => "key-reused", 409, "The idempotency key belongs to another request", No, None;
    /// A request with the same idempotency key is in progress.
    InProgress => "in-progress", 409, "The first request with this key is in progress", Unknown, SOON;
    /// Another edit of the section was accepted first.
    EditConflict => "edit-conflict", 409, "Another edit was accepted first", No, None;
    /// The order carries an old fencing number.
    StaleFence => "stale-fence", 409, "The order comes from a former holder", No, None;
    /// The endpoint is busy with another order.
    OrderInProgress => "order-in-progress", 409, "Another order is in progress", No, SOON;
    /// The body is larger than allowed.
    TooLarge => "too-large", 413, "The request is too large", No, None;
    /// The document has faults.
    InvalidDocument => "invalid-document", 422, "The document has faults", No, None;
    /// The caller is over its own limits.
    RateLimited => "rate-limited", 429, "The caller is over its limit", No, SOON;
    /// The target of the class cannot be met.
    Overloaded => "overloaded", 503, "The target of the class cannot be met now", No, SOON;
    /// No endpoint can take the request.
    NoEndpoint => "no-endpoint", 503, "No endpoint can take the request", No, SOON;
    /// The process or endpoint is leaving.
    Leaving => "leaving", 503, "The process is shutting down", No, SOON;
    /// The attempt was meant for an earlier run of the agent.
    WrongIncarnation => "wrong-incarnation", 503, "The agent was restarted", No, SOON;
    /// The platform store cannot be reached.
    StoreUnavailable => "store-unavailable", 503, "The platform store cannot be reached", No, LATER;
    /// No document has been received yet.
    NotReady => "not-ready", 503, "No configuration is in force yet", No, SOON;
    /// The endpoint answered with an error.
    EndpointFailed => "endpoint-failed", 502, "The endpoint failed", Unknown, None;
    /// The connection to the agent or the endpoint was lost.
    EndpointLost => "endpoint-lost", 502, "The endpoint was lost", Unknown, None;
    /// The answer was not complete in time.
    Deadline => "deadline", 504, "The answer was not complete in time", Unknown, None;
    /// A store answer was lost and the effect could not be settled.
    Unsettled => "unsettled", 504, "The outcome is not known", Unknown, LATER;
    /// A fault of the system itself.
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

/// An error of the system.
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
    /// An error with the execution state of its kind. `detail` is shown to the caller and must
    /// hold no prompt, bearer key or personal data.
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

    /// Replaces the execution state, where the place of the error knows more than the table.
    #[must_use]
    pub fn with_executed(mut self, executed: Executed) -> Self {
        self.inner.executed = executed;
        self
    }

    /// Replaces the advice on when to retry.
    #[must_use]
    pub fn with_retry_after(mut self, period: Duration) -> Self {
        self.inner.retry_after = Some(period);
        self
    }

    /// Keeps the error that caused this one, for logs.
    #[must_use]
    pub fn with_source(
        mut self,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        self.inner.source = Some(source.into());
        self
    }

    /// The kind.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.inner.kind
    }

    /// Whether the operation ran.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.inner.executed
    }

    /// What happened, for the caller.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.inner.detail
    }

    /// When a retry can help.
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
