use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Executed, Kind},
    id::{
        self, Attempt, Caller, Class, Endpoint, Fence, Group, Incarnation, Key, Model, Operation,
        Process, PromptPart, Request, Revision, Service, Window, Zone,
    },
    route::Version,
    store::Era,
    unit::{Bytes, Share, Tokens},
};

/// Version of this protocol. Connections to peers with another version are closed.
pub const PROTOCOL: u32 = 1;

/// One message between an entry and an agent, or between two gateways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First message in each direction.
    Hello(Hello),
    /// Starts an attempt, entry to agent.
    Submit(Submit),
    /// Grants flow-control credit, entry to agent.
    Credit(Credit),
    /// Cancels an attempt, entry to agent.
    Cancel(Cancel),
    /// A part of a response, agent to entry.
    Chunk(Chunk),
    /// The end of a complete response, agent to entry.
    End(End),
    /// The attempt failed, agent to entry.
    Fail(Fail),
    /// Load and state of the endpoint, agent to entry; also the heartbeat.
    Report(Report),
    /// Heartbeat with the revision in force, entry to agent.
    Heartbeat(Revision),
    /// The agent accepts no new attempts. The entry acknowledges this with the same frame, and
    /// sends no attempt after it.
    GoAway,
    /// Orders a change of the endpoint, entry to agent.
    Order(Order),
    /// Result of an order, agent to entry.
    Done(Done),
    /// Requests a newer document, in either direction.
    Fetch(Fetch),
    /// Responds to [`Fetch`] with a complete document.
    Document(Document),
    /// Requests the recorded outcome of an idempotency key, entry to agent.
    Lookup(Lookup),
    /// Responds to a lookup, agent to entry.
    Outcome(Outcome),
    /// Endpoint state that the sender observed, gateway to gateway; also the heartbeat.
    Digest(Digest),
}

/// Identity of the sender, in the first frame of each direction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u32,
    /// Process name from the settings.
    pub process: Process,
    /// Id of this run of the process.
    pub incarnation: Incarnation,
    /// Availability zone from the settings.
    pub zone: Zone,
    /// Revision of the document in force; 0 if none.
    pub revision: Revision,
}

/// Starts an attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submit {
    /// Id that later frames of the attempt refer to.
    pub attempt: Attempt,
    /// Run of the agent to which the attempt is addressed. Another run rejects it.
    pub incarnation: Incarnation,
    /// Caller that sent the request.
    pub caller: Caller,
    /// Class of the request, which determines `priority`.
    pub class: Class,
    /// Priority at the engine: lower is more urgent.
    pub priority: u8,
    /// Time until the deadline; encoded in whole milliseconds.
    #[serde(with = "millis")]
    pub time_left: Duration,
    /// Response bytes that the agent may send before it receives more credit.
    pub credit: Bytes,
    /// Operation to run.
    pub work: Work,
}

/// Operation that an attempt runs at an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// Generate text on an engine.
    Generate(Generate),
    /// Call an operation of a plain service.
    Invoke(Invoke),
}

/// Parameters of a text generation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Generate {
    /// Model that generates.
    pub model: Model,
    /// Adapter of the model, if the caller requested one.
    pub adapter: Option<String>,
    /// Input of the model.
    pub prompt: Prompt,
    /// Maximum number of tokens to generate.
    pub max_output: Tokens,
    /// Response bytes that earlier attempts delivered. The response continues at this offset.
    pub resume: Bytes,
    /// Sampling parameters, passed to the engine.
    pub sampling: Sampling,
}

/// Input of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Prompt {
    /// Plain text.
    Text(String),
    /// Messages of a conversation, oldest first.
    Chat(Vec<Message>),
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Sampling parameters, passed to the engine unchanged. The engine applies its defaults to those
/// that are not set.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Sampling {
    /// Softmax temperature.
    pub temperature: Option<f32>,
    /// Probability mass for nucleus sampling.
    pub top_p: Option<f32>,
    /// Seed of the random number generator.
    pub seed: Option<u64>,
    /// Stop sequences.
    pub stop: Vec<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Invoke {
    /// Service to call.
    pub service: Service,
    /// Operation of the service.
    pub operation: Operation,
    /// Idempotency key, if the caller gave one.
    pub key: Option<Key>,
    /// Whether the operation must run at most once. If so, `key` is set.
    #[serde(rename = "once")]
    pub at_most_once: bool,
    /// Media type of the body.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Grants flow-control credit to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Credit {
    /// Attempt whose response may continue.
    pub attempt: Attempt,
    /// Response bytes that the agent may send in addition to the credit granted before.
    pub bytes: Bytes,
}

/// Cancels an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: Attempt,
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt.
    pub attempt: Attempt,
    /// Offset in the complete response of the request, across attempts.
    pub offset: Bytes,
    /// Response bytes.
    pub data: Vec<u8>,
}

/// The end of a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// The attempt.
    pub attempt: Attempt,
    /// Length of the complete response, across attempts.
    pub length: Bytes,
    /// Finish reason of an engine, `stop` or `length`; media type of the body for a service.
    pub reason: String,
    /// HTTP status of a service; 200 for an engine.
    pub status: u16,
    /// Prompt tokens; 0 for a service.
    pub input: Tokens,
    /// Generated tokens; 0 for a service.
    pub output: Tokens,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fail {
    /// The attempt.
    pub attempt: Attempt,
    /// Error kind to report to the caller.
    pub kind: Kind,
    /// Whether the operation was executed.
    pub executed: Executed,
    /// Error message for the caller.
    pub detail: String,
}

/// Load and state of an endpoint; also the heartbeat of its agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Revision of the document in force at the agent.
    pub revision: Revision,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
    /// Whether `leaving` was caused by [`Change::Drain`], which [`Change::Resume`] reverts. A
    /// stopping agent or an engine that drains itself cannot be resumed.
    pub drained: bool,
    /// Rest of the pause that the endpoint has asked for, zero without one; encoded in whole
    /// milliseconds.
    #[serde(default, with = "millis", skip_serializing_if = "Duration::is_zero")]
    pub paused_for: Duration,
    /// Role of the engine.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<Model>,
    /// Number of entries that are connected to the agent and share the endpoint.
    pub entries: u32,
    /// Load at the time of the report.
    pub load: Load,
}

/// Load of an endpoint. `in_progress` is counted by the agent; the rest is as last reported by the
/// endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Attempts in progress at the agent.
    pub in_progress: u32,
    /// Requests in the queue of the endpoint.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub prefill: Tokens,
    /// Requests in the decode phase.
    pub decoding: u32,
    /// Fraction of the KV cache in use.
    pub cache: Share,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs both prefill and decode.
    #[default]
    Mixed,
    /// Mostly runs prefill.
    Prefill,
    /// Mostly runs decode.
    Decode,
}

impl std::fmt::Display for Role {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

/// Orders a planned change of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Id of the order. The same order may arrive more than once.
    pub order: id::Order,
    /// Group of the endpoint, whose lease the sender holds.
    pub group: Group,
    /// Fencing token of that lease.
    pub fence: Fence,
    /// Change to make.
    pub change: Change,
}

/// Kind of planned change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Switch to a role.
    Role(Role),
    /// Load a model.
    Load(Model),
    /// Unload a model.
    Unload(Model),
    /// Accept no new work, and complete the work in progress.
    Drain,
    /// Accept work again after a drain.
    Resume,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Done {
    /// Id of the order.
    pub order: id::Order,
    /// Whether the change took effect.
    pub verdict: Verdict,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The change is in effect.
    Applied,
    /// The agent rejected the order, which had no effect.
    Refused(Kind),
    /// The endpoint failed; its state is unchanged or unknown.
    Failed(Kind),
}

/// Endpoint state that a gateway observed through its own requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Work in progress, for endpoints at which it changed since the last digest.
    pub usages: Vec<Usage>,
    /// Endpoints that failed since the last digest.
    pub failed: Vec<Endpoint>,
    /// Memory in use at engines, where it changed since the last digest and the configuration limits it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<Occupancy>,
    /// What is new of parts of prompts that ran at endpoints when these ended.
    #[serde(default, skip_serializing_if = "PartReport::is_empty")]
    pub parts: PartReport,
    /// Running counts of requests that have begun, as far as they changed; all of them in the first
    /// digest of a link.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<Begun>,
    /// The time of the gateway, if it counts requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time: Option<UsageTime>,
    /// What the sender knows of the plan, if it exchanges plans with its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<PlanState>,
}

/// How many requests of a customer have begun to run at a gateway in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Begun {
    /// The window.
    pub window: Window,
    /// The customer.
    pub customer: Caller,
    /// Requests so far.
    pub count: u64,
}

/// The time of a gateway, and what it knows of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageTime {
    /// Unix time by its own clock, in milliseconds.
    pub unix_ms: u64,
    /// The first window to which it may still add requests.
    pub open: Window,
    /// The last window whose report was accepted.
    pub reported: Option<Window>,
    /// The last window whose report may have been sent; `None` for a gateway that does not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<Window>,
    /// The era of the store, in the first digest of a link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<KnownEra>,
}

/// An era of the store, and for how long a gateway has known it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownEra {
    /// The era; `None` if the store has stated none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stated: Option<Era>,
    /// Time since the gateway saw it first, encoded in whole milliseconds.
    #[serde(with = "millis")]
    pub age: Duration,
}

/// What a gateway knows of the plan when it sends a digest. Times are encoded in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanState {
    /// Time since boot at the sender.
    #[serde(with = "millis")]
    pub sent: Duration,
    /// The last `sent` that the sender received over this link; zero before the first.
    #[serde(default, with = "millis", skip_serializing_if = "Duration::is_zero")]
    pub echo: Duration,
    /// The last confirmation at the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<PlanConfirmation>,
}

/// The plan that a gateway has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanConfirmation {
    /// Version of the plan.
    pub version: Version,
    /// Time since this version was the newest, rounded up.
    #[serde(with = "millis")]
    pub age: Duration,
}

/// What a gateway knows of parts of prompts that ran at endpoints when these ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartReport {
    /// Crashes of endpoints, for each part that was running.
    pub crashes: Vec<Crash>,
    /// The last answers of parts with crashes. Crashes before them are cleared.
    pub answers: Vec<Answer>,
}

impl PartReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty()
    }
}

/// An endpoint answered a request with a part in its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The part.
    pub part: PromptPart,
    /// Time since the answer; encoded in whole milliseconds.
    #[serde(with = "millis")]
    pub age: Duration,
}

/// An endpoint ended while it ran a request with a part in its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The part.
    pub part: PromptPart,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Time since the crash; encoded in whole milliseconds.
    #[serde(with = "millis")]
    pub age: Duration,
}

/// Work that the sender has in progress at an endpoint. Encoded as a tuple to save the field names,
/// because a gateway sends many of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "UsageTuple", into = "UsageTuple")]
pub struct Usage {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of these requests that the endpoint has not processed, by rank.
    pub prompt_tokens_to_prefill: Vec<(u8, Tokens)>,
}

type UsageTuple = (Endpoint, u32, Vec<(u8, Tokens)>);

impl From<UsageTuple> for Usage {
    fn from((endpoint, requests, prompt_tokens_to_prefill): UsageTuple) -> Self {
        Self {
            endpoint,
            requests,
            prompt_tokens_to_prefill,
        }
    }
}

impl From<Usage> for UsageTuple {
    fn from(usage: Usage) -> Self {
        (
            usage.endpoint,
            usage.requests,
            usage.prompt_tokens_to_prefill,
        )
    }
}

/// Memory of an engine that the requests of the sender use. Apart from [`Usage`], whose tuple gateways of
/// earlier versions decode with its present length.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "OccupancyTuple", into = "OccupancyTuple")]
pub struct Occupancy {
    /// The engine.
    pub endpoint: Endpoint,
    /// Tokens that no other request shares, output limits included.
    pub own: Tokens,
    /// Hash and tokens of each shared prefix.
    pub prefixes: Vec<(u64, Tokens)>,
}

type OccupancyTuple = (Endpoint, Tokens, Vec<(u64, Tokens)>);

impl From<OccupancyTuple> for Occupancy {
    fn from((endpoint, own, prefixes): OccupancyTuple) -> Self {
        Self {
            endpoint,
            own,
            prefixes,
        }
    }
}

impl From<Occupancy> for OccupancyTuple {
    fn from(occupancy: Occupancy) -> Self {
        (occupancy.endpoint, occupancy.own, occupancy.prefixes)
    }
}

/// Requests a document newer than `have`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// Revision in force at the sender; 0 if none.
    pub have: Revision,
}

/// A complete configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Revision of the document.
    pub revision: Revision,
    /// Text of each section, by section name.
    pub sections: BTreeMap<String, String>,
}

/// Requests the recorded outcome of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lookup {
    /// Id that matches the [`Outcome`] to this lookup.
    pub request: Request,
    /// The caller that used the key.
    pub caller: Caller,
    /// Service that was called.
    pub service: Service,
    /// Operation of the service.
    pub operation: Operation,
    /// Idempotency key to look up.
    pub key: Key,
}

/// Responds to a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the [`Lookup`].
    pub request: Request,
    /// Recorded state of the key.
    pub recorded: Recorded,
}

/// Recorded state of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Recorded {
    /// No operation with this key was started.
    Absent,
    /// An operation was started; its outcome is not yet recorded.
    Started,
    /// The operation ended with a response of the service.
    Ended {
        /// HTTP status of the service.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Response body.
        body: Vec<u8>,
    },
    /// The store could not be read.
    Unavailable,
}

/// Serializes durations as whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(
        period: &Duration,
        out: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        u64::try_from(period.as_millis())
            .unwrap_or(u64::MAX)
            .serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> std::result::Result<Duration, D::Error> {
        u64::deserialize(input).map(Duration::from_millis)
    }
}
