use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Executed, Kind},
    id::{
        self, Attempt, Caller, Class, Endpoint, Fence, Group, Incarnation, Key, Model, Operation,
        Process, Request, Revision, Service, Zone,
    },
    unit::{Bytes, Share, Tokens},
};

/// Version of this protocol. A peer with another version is refused.
pub const PROTOCOL: u32 = 1;

/// One message between an entry and an agent, or between two gateways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// First message in each direction.
    Hello(Hello),
    /// An attempt to run, entry to agent.
    Submit(Submit),
    /// More bytes that the entry will take, entry to agent.
    Credit(Credit),
    /// The entry no longer wants the answer, entry to agent.
    Cancel(Cancel),
    /// A part of an answer, agent to entry.
    Chunk(Chunk),
    /// The end of a whole answer, agent to entry.
    End(End),
    /// The attempt failed, agent to entry.
    Fail(Fail),
    /// Load and state of the endpoint, agent to entry; also the heartbeat.
    Report(Report),
    /// A heartbeat without news, entry to agent.
    Heartbeat(Revision),
    /// The agent takes no new attempts; the entry answers with the same frame once it sends none.
    GoAway,
    /// A planned change, entry to agent.
    Order(Order),
    /// Result of an order, agent to entry.
    Done(Done),
    /// Asks for a newer document.
    Fetch(Fetch),
    /// A whole document.
    Document(Document),
    /// Asks for the recorded outcome of an idempotency key, entry to agent.
    Lookup(Lookup),
    /// Answers a lookup, agent to entry.
    Outcome(Outcome),
    /// What a gateway knows of endpoints, gateway to gateway; also the heartbeat.
    Digest(Digest),
}

/// Who the peer is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u32,
    /// Name of the process.
    pub process: Process,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Zone,
    /// Revision of the document in force; 0 if none.
    pub revision: Revision,
}

/// An attempt to run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submit {
    /// The attempt.
    pub attempt: Attempt,
    /// The run of the agent that it is meant for. Another run refuses it.
    pub incarnation: Incarnation,
    /// The caller.
    pub caller: Caller,
    /// The class, from which the engine's priority follows.
    pub class: Class,
    /// Priority at the engine: lower is more urgent.
    pub priority: u8,
    /// Time left, in whole milliseconds on the wire.
    #[serde(with = "millis")]
    pub time_left: Duration,
    /// Bytes of answer that the agent may send before it gets more credit.
    pub credit: Bytes,
    /// What to run.
    pub work: Work,
}

/// What an endpoint is asked to do.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// Generate text on an engine.
    Generate(Generate),
    /// Call an operation of a plain service.
    Invoke(Invoke),
}

/// Text generation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Generate {
    /// The model.
    pub model: Model,
    /// Adapter of the model, if the caller asked for one.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: Prompt,
    /// Most tokens to generate.
    pub max_output: Tokens,
    /// Bytes of the answer that an earlier attempt already delivered.
    pub resume: Bytes,
    /// Sampling parameters.
    pub sampling: Sampling,
}

/// Input of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Prompt {
    /// Plain text.
    Text(String),
    /// A conversation.
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

/// Sampling parameters, passed to the engine as they are.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Sampling {
    /// Temperature.
    pub temperature: Option<f32>,
    /// Nucleus sampling.
    pub top_p: Option<f32>,
    /// Seed.
    pub seed: Option<u64>,
    /// Texts that end the answer.
    pub stop: Vec<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Invoke {
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
    /// Idempotency key, if the caller gave one.
    pub key: Option<Key>,
    /// Whether the operation must run at most once. Then a key is present.
    pub once: bool,
    /// Media type of the body.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// More bytes that the entry will take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Credit {
    /// The attempt.
    pub attempt: Attempt,
    /// Added to the credit.
    pub bytes: Bytes,
}

/// Withdraws an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: Attempt,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt.
    pub attempt: Attempt,
    /// Position in the whole answer of the request, in bytes.
    pub offset: Bytes,
    /// The bytes.
    pub data: Vec<u8>,
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// The attempt.
    pub attempt: Attempt,
    /// Length of the whole answer.
    pub length: Bytes,
    /// Why the answer ended: `stop` or `length`, or the media type for a service.
    pub reason: String,
    /// HTTP status of a service; 200 for an engine.
    pub status: u16,
    /// Prompt tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fail {
    /// The attempt.
    pub attempt: Attempt,
    /// The kind of error.
    pub kind: Kind,
    /// Whether it ran.
    pub executed: Executed,
    /// What happened, for the caller.
    pub detail: String,
}

/// Load and state of an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Revision of the document in force at the agent.
    pub revision: Revision,
    /// No new work, please.
    pub leaving: bool,
    /// Whether an order is the reason, which another order can undo. A stopping agent or an engine
    /// that drains itself cannot be resumed.
    pub drained: bool,
    /// Role of an engine.
    pub role: Role,
    /// Models that are loaded.
    pub models: Vec<Model>,
    /// Entries that are connected to the agent and share the endpoint.
    pub entries: u32,
    /// Load.
    pub load: Load,
}

/// Load of an endpoint as it last reported, and as the agent counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Attempts that the agent has in progress.
    pub in_progress: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
    /// Prompt tokens that wait to be processed.
    pub prefill: Tokens,
    /// Requests that generate.
    pub decoding: u32,
    /// Part of the KV cache in use.
    pub cache: Share,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Processes prompts and generates.
    #[default]
    Mixed,
    /// Mostly processes prompts.
    Prefill,
    /// Mostly generates.
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

/// A planned change of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The order. The same order may arrive twice.
    pub order: id::Order,
    /// The group whose lease the sender holds.
    pub group: Group,
    /// Fencing number of that lease.
    pub fence: Fence,
    /// The change.
    pub change: Change,
}

/// Kinds of planned change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Take on a role.
    Role(Role),
    /// Load a model.
    Load(Model),
    /// Unload a model.
    Unload(Model),
    /// Take no new work and finish what is in progress.
    Drain,
    /// Take work again.
    Resume,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Done {
    /// The order.
    pub order: id::Order,
    /// What came of it.
    pub verdict: Verdict,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// In effect.
    Applied,
    /// Refused; it had no effect.
    Refused(Kind),
    /// The endpoint failed; its state is as before or unknown.
    Failed(Kind),
}

/// What a gateway knows of endpoints from its own requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Work in progress. Endpoints that are not listed are as before.
    pub usages: Vec<Usage>,
    /// Endpoints that have failed since the last digest.
    pub failed: Vec<Endpoint>,
}

/// Work that the sender has in progress at an endpoint. Sent as a tuple, because a gateway sends
/// many of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "UsageTuple", into = "UsageTuple")]
pub struct Usage {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of those that the endpoint has not read, by rank.
    pub unread: Vec<(u8, Tokens)>,
}

type UsageTuple = (Endpoint, u32, Vec<(u8, Tokens)>);

impl From<UsageTuple> for Usage {
    fn from((endpoint, requests, unread): UsageTuple) -> Self {
        Self {
            endpoint,
            requests,
            unread,
        }
    }
}

impl From<Usage> for UsageTuple {
    fn from(usage: Usage) -> Self {
        (usage.endpoint, usage.requests, usage.unread)
    }
}

/// Asks for a document newer than `have`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// Revision that the sender has.
    pub have: Revision,
}

/// A whole document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Text of each section, by section name.
    pub sections: BTreeMap<String, String>,
}

/// Asks for the recorded outcome of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lookup {
    /// Names the question.
    pub request: Request,
    /// The caller that used the key.
    pub caller: Caller,
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
    /// The key.
    pub key: Key,
}

/// Answers a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// The question.
    pub request: Request,
    /// What is recorded.
    pub recorded: Recorded,
}

/// What is recorded for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Recorded {
    /// Nothing: no operation with this key was started.
    Absent,
    /// Started; the outcome is not recorded yet.
    Started,
    /// Ended with an answer of the service.
    Ended {
        /// HTTP status of the service.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Body of the service's answer.
        body: Vec<u8>,
    },
    /// The store could not be asked.
    Unavailable,
}

/// Durations as whole milliseconds.
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
