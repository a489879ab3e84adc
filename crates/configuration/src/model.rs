//! The typed form of a configuration, as the data plane uses it.
//!
//! The control plane also stores the operator's JSON document, including unknown fields; this form has the fields that
//! the system acts on.

use musli::{Decode, Encode};

use crate::number::{Rank, Revision};

/// A complete configuration of one revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// The operator's version number; versions rise in uneven steps.
    pub revision: Revision,
    /// Routes, in the operator's order.
    pub routes: Vec<Route>,
    /// Services that routes lead to, and KV cache stores.
    pub services: Vec<Service>,
    /// Limits on what clients send.
    pub caps: Caps,
    /// Requests need a tenant's key unless their route is public: true where the document has a list of tenants, even an
    /// empty one, so that the removal of the last tenant doesn't open the routes.
    pub requires_key: bool,
    /// Tenants.
    pub tenants: Vec<Tenant>,
}

/// A route: a host and a path prefix, and where its requests go.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// The route's unique label.
    pub label: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// The path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried, and whether the response is a stream.
    pub kind: RouteKind,
    /// The deadline of a request, from its arrival, in milliseconds.
    pub time_limit_ms: u64,
    /// The latency target: the time within which a response (a stream's first event) has its full value, in milliseconds.
    pub target_ms: u64,
    /// Priority; 0 is the highest.
    pub rank: Rank,
    /// The traffic split; a single service has one entry.
    pub service_weights: Vec<ServiceWeight>,
    /// The most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Requests need no key.
    pub public: bool,
    /// Requests name a model and the segments of their prompt, by which cached prefixes are found.
    pub pinned: bool,
    /// A stream may be resumed at another replica by `Last-Event-Id`.
    pub resumable: bool,
    /// The latency target between a stream's events, in milliseconds; 0 is not stated.
    pub gap_target_ms: u64,
}

/// Whether a request may be retried after it reached a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// Idempotent: requests may run more than once.
    Harmless,
    /// Not idempotent: a request runs at most once.
    Risky,
    /// The response is a stream of events; idempotent only where the route is resumable.
    Stream,
}

/// A service of a route's traffic split.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServiceWeight {
    /// The service's label.
    pub service: String,
    /// Its weight relative to the others of the route.
    pub weight: f64,
}

/// A service: interchangeable replicas, or a KV cache store.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Service {
    /// The service's unique label.
    pub label: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one replica accepts from all callers together; 0 is not stated.
    pub connection_limit: u32,
    /// Limits and sizes of its replicas, where they run language models.
    pub runtime: Option<ServiceRuntime>,
    /// The address of a KV cache store, as `IP:PORT`; a service with one has no replicas and no routes.
    pub store_address: Option<String>,
    /// The zone of the store.
    pub store_zone: Option<String>,
    /// Concurrent requests to `/kv-events` that each replica or the store accepts; 0 is not stated.
    pub max_event_calls: u32,
    /// Capacity of the store, in tokens.
    pub store_tokens: u64,
}

/// Sizes of a service's replicas.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServiceRuntime {
    /// Requests that a replica runs concurrently.
    pub capacity: u32,
    /// Capacity of a replica's memory, in tokens, for running requests and cached prefixes together.
    pub cache_tokens: u64,
    /// Bytes of KV cache per token.
    pub cache_token_bytes: u64,
    /// Bandwidth of a replica's link for KV cache, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Models that the replicas serve.
    pub models: Vec<String>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Caps {
    /// Bytes of a request's head (request line and header fields).
    pub head_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Timeout for a complete head, in milliseconds.
    pub head_wait_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Caps {
    fn default() -> Self {
        Caps { head_bytes: 16_384, body_bytes: 4_194_304, head_wait_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A tenant and the keys that its clients send.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// The tenant's unique label, which is sent to replicas.
    pub label: String,
    /// Its API keys; no two tenants have the same one.
    pub api_keys: Vec<String>,
    /// Priority that overrides a route's, where stated.
    pub rank: Option<Rank>,
    /// Its prompts don't share KV cache with other tenants'.
    pub isolated: bool,
}

/// An item of a list whose labels are unique.
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
