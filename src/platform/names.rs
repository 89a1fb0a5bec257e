//! Paths, keys and headers of the platform. Header names are in lower case, as the HTTP library
//! requires.

/// Environment variable with the path of the settings file.
pub(super) const SETTINGS_VARIABLE: &str = "MULBERRYMILL_CONFIG";

/// Prefix of the endpoints' entries in the store. Paths of this program start with a slash, keys of
/// the platform do not.
pub(super) const ENDPOINTS_PREFIX: &str = "/servers/";
/// Prefix of the entries with which gateways register.
pub(super) const GATEWAYS_PREFIX: &str = "/gateways";
/// Prefix of what the holder of the duties keeps.
pub(super) const DUTIES_PREFIX: &str = "/duties";
/// Key of the operator's configuration.
pub(super) const PLAN_KEY: &str = "/op/config";

pub(super) const READINESS: &str = "/mulberrymill/readyz";
pub(super) const STORE_RANGE: &str = "/mulberrymill/kv-range";
pub(super) const STORE_KEY: &str = "/mulberrymill/kv-key";
pub(super) const STORE_WATCH: &str = "/mulberrymill/kv-watch";
pub(super) const STORE_TXN: &str = "/mulberrymill/kv-txn";
pub(super) const LEASE_GRANT: &str = "/mulberrymill/kv-lease";
pub(super) const LEASE_RENEW: &str = "/mulberrymill/kv-keep";
pub(super) const LEASE_REVOKE: &str = "/mulberrymill/kv-lease-end";
pub(super) const KV_HANDLE: &str = "/mulberrymill/kv-handle";

/// Number of restores of the store from an older copy, in all its answers.
pub(super) const STORE_ERA: &str = "store-era";

/// Request id that the caller sets for one attempt.
pub(super) const REQUEST_ID: &str = "request-id";
/// Time that the sender waits for the response, in milliseconds.
pub(super) const DEADLINE_MS: &str = "deadline-ms";
/// Id of the last event that the caller received.
pub(super) const LAST_EVENT_ID: &str = "last-event-id";
/// Number of prompt tokens and limit of the output tokens, separated by a comma.
pub(super) const TOKEN_COUNT: &str = "token-count";
/// Parts of the prompt in order, separated by commas, each as `id:tokens`. The last part is not
/// shared with other requests.
pub(super) const PREFIX_HASH: &str = "prefix-hash";
/// Id of the endpoint that a request is meant for.
pub(super) const EXPECT_INSTANCE: &str = "expect-instance";
/// Set by an endpoint that has not run the request.
pub(super) const NOT_EXECUTED: &str = "not-executed";
/// Running requests, waiting requests and slots of the endpoint, separated by commas. A fourth number says
/// how long work takes there now, in percent of the usual time.
pub(super) const INSTANCE_LOAD: &str = "instance-load";
/// `1` in every answer of an endpoint that is leaving.
pub(super) const SERVER_LEAVING: &str = "server-leaving";
/// Id of the endpoint that responds to a health check, or that now has the address.
pub(super) const INSTANCE_ID: &str = "instance-id";
/// Priority of a request; 0 is the most urgent.
pub(super) const REQUEST_PRIORITY: &str = "request-priority";
/// `prefill` if an engine is to run only the prefill stage.
pub(super) const SERVING_STAGE: &str = "serving-stage";
/// Address of an engine from which the shared parts of a prompt are copied.
pub(super) const KV_FETCH: &str = "kv-fetch";
/// Name of the customer that sent a request.
pub(super) const TENANT: &str = "tenant";
/// Location of the KV cache of a request, as `address/handle`.
pub(super) const KV_SOURCE: &str = "kv-source";

/// Path of usage reports at the platform's API.
pub(super) const DUTY_USAGE: &str = "/usage";
/// Host that holds the duties, in calls to the platform's API.
pub(super) const DUTY_HOLDER: &str = "duty-holder";
/// Number that increases when the holder of the duties changes.
pub(super) const FENCING_TOKEN: &str = "fencing-token";

/// Headers that only this system may set; they are dropped from requests of callers.
pub(super) const SYSTEM_HEADERS: [&str; 10] = [
    EXPECT_INSTANCE,
    REQUEST_PRIORITY,
    SERVING_STAGE,
    KV_SOURCE,
    "kv-hold",
    "kv-backup",
    KV_FETCH,
    "pin-ms",
    "expect-version",
    DEADLINE_MS,
];

/// Headers that concern a single connection and are not forwarded.
pub(super) const HOP_BY_HOP_HEADERS: [&str; 10] = [
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
