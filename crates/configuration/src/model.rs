//! The typed form of a configuration, as the data plane uses it.
//!
//! The control plane stores the operator's JSON document, which may have further fields. This form has only the fields
//! that affect how the system behaves.

use musli::{Decode, Encode};

use crate::number::{Priority, Revision};

/// A complete configuration of one revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// The revision, which the operator chooses; revisions rise in uneven steps.
    pub revision: Revision,
    /// Routes in the order of the document.
    pub routes: Vec<Route>,
    /// Services with replicas, and KV cache stores.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of clients.
    pub caps: ClientLimits,
    /// Whether requests need a tenant's API key unless their route is public. True if the document has a list of
    /// tenants, even an empty one, so that the removal of the last tenant doesn't make the routes public.
    pub requires_key: bool,
    /// Tenants in the order of the document.
    pub tenants: Vec<Tenant>,
}

/// A route: the requests that it matches by host and path prefix, and the services that receive them.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Label, unique among the routes.
    pub label: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths; it starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried, and whether responses are event streams.
    pub kind: RouteKind,
    /// Time from the arrival of a request to its deadline, in milliseconds; above 0.
    pub time_limit_ms: u64,
    /// Latency target of a response, or of a stream's first event, in milliseconds. A later response is worth less.
    pub target_ms: u64,
    /// Priority of the requests; 0 is the highest.
    pub rank: Priority,
    /// Services among which the requests are split; one entry for a single service.
    pub service_weights: Vec<ServiceWeight>,
    /// Maximum number of attempts per request; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests name a model and the segments of their prompt, by which cached prefixes are found.
    pub pinned: bool,
    /// Whether a stream may be resumed at another replica by `Last-Event-Id`.
    pub resumable: bool,
    /// Latency target between events of a stream, in milliseconds; 0 means none.
    pub gap_target_ms: u64,
}

/// Whether a request may be retried after it has reached a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is an event stream. Requests are idempotent only if the route is resumable.
    Stream,
}

/// A service of a route, and the part of the requests that it receives.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServiceWeight {
    /// Label of the service.
    pub service: String,
    /// Weight relative to the sum of the route's weights; finite and at least 0.
    pub weight: f64,
}

/// A service: a group of interchangeable replicas, or a KV cache store.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Service {
    /// Label, unique among the services.
    pub label: String,
    /// Path of the health check; empty for a store that states none.
    pub health_path: String,
    /// Maximum number of connections that one replica accepts from all clients together; 0 if not stated.
    pub connection_limit: u32,
    /// Limits and sizes of the replicas, if they run language models.
    pub runtime: Option<ServiceRuntime>,
    /// Address of the KV cache store as `IP:PORT`. A service with a store address has no replicas and no routes.
    pub store_address: Option<String>,
    /// Zone of the KV cache store.
    pub store_zone: Option<String>,
    /// Maximum number of concurrent requests to `/kv-events` that each replica or the store accepts; 0 if not stated.
    pub max_event_calls: u32,
    /// Capacity of the KV cache store, in tokens.
    pub store_tokens: u64,
}

/// Limits and sizes of each replica of a service that runs language models.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServiceRuntime {
    /// Number of requests that a replica runs concurrently.
    pub capacity: u32,
    /// Capacity of a replica's KV cache for running requests and cached prefixes together, in tokens.
    pub cache_tokens: u64,
    /// Size of one token in the KV cache, in bytes.
    pub cache_token_bytes: u64,
    /// Bandwidth of a replica's network link for KV cache transfers, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Names of the models that the replicas serve.
    pub models: Vec<String>,
}

/// Limits on the requests and connections of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Maximum size of a request's head (request line and header fields), in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a complete head, in milliseconds.
    pub head_wait_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits { head_bytes: 16_384, body_bytes: 4_194_304, head_wait_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A tenant and the API keys that its clients send.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// Label, unique among the tenants; it is sent to replicas.
    pub label: String,
    /// API keys; each key belongs to one tenant only.
    pub api_keys: Vec<String>,
    /// Priority that overrides that of the route; `None` leaves the route's.
    pub rank: Option<Priority>,
    /// Whether the tenant's prompts share no KV cache with those of other tenants.
    pub isolated: bool,
}

/// An item of a list in which each label occurs once.
pub(crate) trait Labelled {
    fn label(&self) -> &str;
}

impl Labelled for Route {
    fn label(&self) -> &str {
        &self.label
    }
}

impl Labelled for Service {
    fn label(&self) -> &str {
        &self.label
    }
}

impl Labelled for Tenant {
    fn label(&self) -> &str {
        &self.label
    }
}
