//! The typed form of a configuration, as the data plane uses it.
//!
//! The control plane keeps the operator's JSON document beside it, unknown fields included; this form holds
//! what the system acts on.

use musli::{Decode, Encode};

/// A whole configuration under its revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// The operator's version number; versions rise in uneven steps.
    pub revision: u64,
    /// Routes, in the operator's order.
    pub routes: Vec<Route>,
    /// Services that routes lead to, and stores of KV cache.
    pub services: Vec<Service>,
    /// Limits on what clients send.
    pub caps: Caps,
    /// Requests need a tenant's key unless their route is public. So it is where the document has a list of
    /// tenants, also one that has become empty: removing the last tenant opens nothing.
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
    /// What may be repeated, and whether the answer is a stream.
    pub kind: RouteKind,
    /// The longest time for which the operator wants a request held, in milliseconds.
    pub time_limit_ms: u64,
    /// The time within which an answer (a stream's first event) earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// Urgency; 0 is the highest.
    pub rank: u8,
    /// Services and their weights; a single service has one entry.
    pub shares: Vec<Share>,
    /// The most replicas to which one client's try may be sent.
    pub max_attempts: u32,
    /// Requests need no key.
    pub public: bool,
    /// Requests name a model and the parts of their prompt.
    pub pinned: bool,
    /// A stream may be resumed at another replica by `Last-Event-Id`.
    pub resumable: bool,
    /// The longest pause between events at which an answer is still in time, in milliseconds; 0 is not
    /// stated.
    pub gap_target_ms: u64,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// Requests may run more than once.
    Harmless,
    /// A request runs once at most.
    Risky,
    /// The answer is a stream of events; idempotent only where the route is resumable.
    Stream,
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Share {
    /// The service's label.
    pub service: String,
    /// Its weight beside the others of the route.
    pub weight: f64,
}

/// A service: replicas that do the same, or a store of KV cache.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Service {
    /// The service's unique label.
    pub label: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one replica takes from all callers together; 0 is not stated.
    pub connection_limit: u32,
    /// Limits and sizes of its replicas, where they run language models.
    pub runtime: Option<ServiceRuntime>,
    /// The address of a store of KV cache; a service with one has no replicas and no routes.
    pub store_address: Option<String>,
    /// The zone of the store.
    pub store_zone: Option<String>,
    /// Calls of `/kv-events` that each replica or the store holds at once; 0 is not stated.
    pub max_event_calls: u32,
    /// Tokens that the store holds.
    pub store_tokens: u64,
}

/// Sizes of a service's replicas.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServiceRuntime {
    /// Requests that a replica runs at once.
    pub capacity: u32,
    /// Tokens that a replica's memory holds, running requests and cached parts together.
    pub cache_tokens: u64,
    /// Bytes of KV cache for a token.
    pub cache_token_bytes: u64,
    /// Bandwidth of a replica's link for KV cache, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Models that the replicas serve.
    pub models: Vec<String>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Caps {
    /// Bytes of a request's head.
    pub head_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time for a head to arrive whole, in milliseconds.
    pub head_wait_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
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
    /// The tenant's unique label, which replicas are shown.
    pub label: String,
    /// Its keys; no two tenants share one.
    pub api_keys: Vec<String>,
    /// Urgency that goes before a route's, where stated.
    pub rank: Option<u8>,
    /// Its prompts share no KV cache with other tenants'.
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
