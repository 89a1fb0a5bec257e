//! Paths, keys and headers of the platform. Header names are in lower case, as the library has
//! them.

/// Environment variable with the path of the settings file.
pub(super) const SETTINGS_VARIABLE: &str = "MULBERRYMILL_CONFIG";

/// Prefix of the endpoints' entries. Paths of this program start with a slash, keys of the
/// platform do not.
pub(super) const ENDPOINTS: &str = "/servers/";
/// Prefix of the entries by which gateways find each other.
pub(super) const GATEWAYS: &str = "/gateways";
/// Key of the operator's configuration.
pub(super) const PLAN: &str = "/op/config";

pub(super) const READY: &str = "/mulberrymill/readyz";
pub(super) const RANGE: &str = "/mulberrymill/kv-range";
pub(super) const KEY: &str = "/mulberrymill/kv-key";
pub(super) const WATCH: &str = "/mulberrymill/kv-watch";
pub(super) const TXN: &str = "/mulberrymill/kv-txn";
pub(super) const LEASE: &str = "/mulberrymill/kv-lease";
pub(super) const KEEP: &str = "/mulberrymill/kv-keep";
pub(super) const LEASE_END: &str = "/mulberrymill/kv-lease-end";
pub(super) const KV_HANDLE: &str = "/mulberrymill/kv-handle";

/// The caller's id of one attempt.
pub(super) const REQUEST_ID: &str = "request-id";
/// Milliseconds that the sender waits.
pub(super) const DEADLINE_MS: &str = "deadline-ms";
/// Last event that the caller has.
pub(super) const LAST_EVENT_ID: &str = "last-event-id";
/// Prompt tokens and most output tokens, separated by a comma.
pub(super) const TOKEN_COUNT: &str = "token-count";
/// Parts of the prompt in order, each an id and a number of tokens; the last one is not shared.
pub(super) const PREFIX: &str = "prefix-hash";
/// Id of the endpoint that a request is meant for.
pub(super) const EXPECT_INSTANCE: &str = "expect-instance";
/// Present if the endpoint has not run the request.
pub(super) const NOT_EXECUTED: &str = "not-executed";
/// Running and waiting requests and slots of the endpoint.
pub(super) const LOAD: &str = "instance-load";
/// Id of the endpoint that answers a health check, or that has an address now.
pub(super) const INSTANCE: &str = "instance-id";
/// Urgency of a request, 0 first.
pub(super) const PRIORITY: &str = "request-priority";
/// `prefill` if an engine shall only read the prompt.
pub(super) const STAGE: &str = "serving-stage";
/// Where the KV cache of a request lies: address, slash, handle.
pub(super) const KV_SOURCE: &str = "kv-source";

/// Headers that only this system sets; a caller's are dropped.
pub(super) const SYSTEM: [&str; 10] = [
    EXPECT_INSTANCE,
    PRIORITY,
    STAGE,
    KV_SOURCE,
    "kv-hold",
    "kv-backup",
    "kv-fetch",
    "pin-ms",
    "expect-version",
    DEADLINE_MS,
];

/// Headers that concern one connection.
pub(super) const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];
