use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Message;
use tokio::sync::watch;

use super::{Evidence, Footprint, Ticket};
use crate::{
    directory::Instance,
    error::Result,
    forecast::{Expectation, Pace},
    id::{self, Endpoint, PromptPart, Service, Zone},
    link::Session,
    notice::Notice,
    triage,
    unit::{Slowdown, Tokens},
    wire::Digest,
};

/// Phases of a generation request that an endpoint has to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Need {
    /// Starts the request: an engine of any stage is eligible. After a prefill engine, another
    /// request with [`Need::Decode`] follows.
    #[default]
    Start,
    /// Decode only, after prefill at another engine.
    Decode,
    /// Prefill and decode at the same engine.
    PrefillAndDecode,
}

/// The properties of a request that decide which endpoint serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Service whose endpoints are eligible.
    pub service: Service,
    /// Phases to run. The default is [`Need::Start`].
    pub need: Need,
    /// Route of the request, which is its kind; `None` if it is not known.
    pub route: Option<id::Route>,
    /// Customer, if customers are configured.
    pub customer: Option<id::Caller>,
    /// Priority rank, 0 is the most urgent. Engines admit more urgent requests first.
    pub rank: u8,
    /// Latency up to which the request counts as in time.
    pub latency_target: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Prompt length in tokens, 0 for a plain service.
    pub prompt: Tokens,
    /// Limit of the output tokens, 0 for a plain service.
    pub max_output: Tokens,
    /// Tokens of the prompt prefix that other requests share.
    pub shared_prefix: Tokens,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Hash of the shared prefix. Requests with the same hash prefer the same engine, which has the
    /// prefix cached.
    pub affinity: Option<u64>,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Endpoints to exclude, because they have failed or rejected this request.
    pub excluded: Vec<Endpoint>,
    /// Zone that holds the KV cache, preferred over the zone of the process.
    pub preferred_zone: Option<Zone>,
}

impl Demand {
    /// Whether this is the first attempt of a request. Later ones may continue work that is half done.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.need == Need::Start && self.excluded.is_empty()
    }

    /// The properties that decide about its delay or rejection.
    pub(super) fn triage(&self) -> triage::Request<'_> {
        triage::Request {
            service: &self.service,
            route: self.route.as_ref(),
            customer: self.customer.as_ref(),
            rank: self.rank,
            latency_target: self.latency_target,
            waited: self.waited,
            remaining: self.remaining,
            prompt: self.prompt,
            own_prompt: self.prompt.saturating_sub(self.shared_prefix),
            max_output: self.max_output,
            is_first: self.is_first(),
        }
    }
}

/// Selects an endpoint and counts the request as in flight there. Fails with
/// [`Kind::NoEndpoint`](crate::error::Kind::NoEndpoint) if no endpoint is eligible, with
/// [`Kind::Overloaded`](crate::error::Kind::Overloaded) if none is expected to answer in time, and
/// with [`Kind::Quarantined`](crate::error::Kind::Quarantined) if the prompt has a held part.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Ticket>")]
pub struct Choose(pub Demand);

/// A selected endpoint, and the load that the selection saw there.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Directory record of the endpoint.
    pub instance: Arc<Instance>,
    /// Priority rank of the request at the endpoint, 0 is the most urgent. Within a configured rank
    /// it differs by the size of requests.
    pub rank: u8,
    /// Prompt tokens that the endpoint has to prefill for the request.
    pub prefill_tokens: Tokens,
    /// Memory of the endpoint that the request uses until it ends.
    pub footprint: Footprint,
    /// Prompt tokens that the endpoint is expected to prefill before it answers, including those of
    /// the request itself.
    pub tokens_ahead: Tokens,
    /// Engine that is expected to have the shared prefix cached, if the selected one has not. Its
    /// copy is transferred, which is faster than a second prefill.
    pub fetch_from: Option<SocketAddr>,
    /// Expected time until the endpoint answers; zero for a plain service whose endpoints report no
    /// slowdown.
    pub forecast: Duration,
    /// The forecast without what is learned of the errors of forecasts.
    pub bare_forecast: Duration,
    /// Slowdown that the endpoint has reported within the last second.
    pub slowdown: Option<Slowdown>,
    /// Requests for each slot of an endpoint of a plain service, at least 1; `None` for an engine.
    pub rounds: Option<f64>,
    /// When the endpoint was selected.
    pub selected_at: Instant,
    /// Requests of this process in flight there, including this one.
    pub own_requests: u32,
    /// Requests of peer processes in flight there: what the peers report, else an estimate from the
    /// last load report of the endpoint.
    pub peer_requests: f64,
    /// Age of the last load report of the endpoint, `None` if it has sent none.
    pub report_age: Option<Duration>,
    /// Time since the store last confirmed the list of endpoints; `None` before it has.
    pub listing_age: Option<Duration>,
    /// What is known of the endpoint until the request is sent.
    pub evidence: watch::Receiver<Evidence>,
}

/// Load that an endpoint reports with an answer, in requests of all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// How long work takes at the endpoint now; `None` if it does not report this.
    pub slowdown: Option<Slowdown>,
}

/// What was known when an endpoint was selected, to compare with the time that it took to answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// When the endpoint was selected.
    pub selected_at: Instant,
    /// Prompt tokens to prefill before the answer.
    pub tokens_ahead: Tokens,
    /// Slowdown that the endpoint had reported within the last second.
    pub slowdown: Option<Slowdown>,
    /// Requests for each slot, at least 1; `None` for an engine.
    pub rounds: Option<f64>,
    /// What was expected of the answer. Its forecast includes the slowdown.
    pub expected: Expectation,
}

/// Reports that an endpoint has begun to answer. Sent by the [`Ticket`].
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Progress {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Priority rank of the request, 0 is the most urgent.
    pub rank: u8,
    /// Prompt tokens to remove from the backlog of the endpoint.
    pub prompt: Tokens,
    /// Load that the endpoint sent with the answer, if any.
    pub load: Option<Load>,
    /// What was known at the selection, for a successful answer; `None` for an answer that says nothing
    /// about the speed of the endpoint.
    pub prediction: Option<Prediction>,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The endpoint served the request.
    Served,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// Another instance answered at the address of the endpoint.
    Replaced,
    /// The endpoint answered with an error, or not before the timeout.
    Failed,
    /// The endpoint could not be reached, or closed the connection early.
    Lost,
    /// The endpoint does not run: its host refused the connection.
    Down,
    /// The endpoint ended while it ran the request.
    Crashed,
    /// The endpoint asked to come back later, which is no failure.
    Paused,
    /// This process gave up, which says nothing about the endpoint.
    Abandoned,
}

/// Ends a request that [`Choose`] placed. Sent by the [`Ticket`] when it is dropped.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finish {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Priority rank of the request, 0 is the most urgent.
    pub rank: u8,
    /// Prompt tokens of the request that are still counted in the backlog of the endpoint.
    pub prompt: Tokens,
    /// Memory of the endpoint that the request has used.
    pub footprint: Footprint,
    /// Outcome, which updates the health of the endpoint.
    pub ending: Ending,
    /// Pauses of the stream, if the request was answered with one.
    pub pace: Option<Pace>,
    /// The request.
    pub demand: Arc<Demand>,
}

/// Reports what an endpoint said of itself in the head of an answer. Sent by the
/// [`Permit`](super::Permit).
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct NoticeReceived {
    /// The run that the request was sent to.
    pub instance: Arc<Instance>,
    /// What it said.
    pub notice: Notice,
    /// The request whose answer it was.
    pub call: Option<id::Call>,
}

/// Asks whether the retry budget of a service allows another attempt, and counts it if so.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct MayRetry(pub Service);

/// Asks whether an endpoint has answered no request of this process since an instant.
#[derive(Clone, Debug, Message)]
#[rtype(result = "bool")]
pub struct IsSilent {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Start of the silence.
    pub since: Instant,
}

/// Asks for the digest for peers: the usage of each endpoint with requests of this process in
/// flight, and the endpoints that failed since the last digest.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Digest")]
pub struct TakeDigest;

/// A digest received from a peer process.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerDigest {
    /// Link that it was received over.
    pub session: Session,
    /// Usage and failures. Endpoints that are not listed keep their last usage.
    pub digest: Digest,
}

/// The link to a peer has closed. Its load is no longer counted.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerDisconnected(pub Session);

/// How many of the known peer processes are linked, and so report their usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct PeerCoverage {
    /// Linked peers.
    pub linked: usize,
    /// Known peers, linked or not.
    pub known: usize,
}

/// The store has answered that the list of endpoints is current.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ListConfirmed;

/// Replaces the list of endpoints. Endpoints that remain at the same address keep their state.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetInstances(pub Vec<Arc<Instance>>);

/// Replaces the list of endpoints by one without those that did not register again in their grace period.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ExpireInstances(pub Vec<Arc<Instance>>);

/// Replaces the memory of the engines of each service, in tokens. Engines of other services are not
/// limited.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetMemory(pub BTreeMap<Service, Tokens>);
