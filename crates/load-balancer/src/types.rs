//! Settings, events, actions and ids: the interface of a [`LoadBalancer`](crate::LoadBalancer).

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in nanoseconds of the caller's clock. An alias rather than a newtype,
/// since all time arithmetic uses integers of this width.
pub type Nanos = u64;

/// The caller's id of a request, which is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A replica's id, the same at every gateway. It alone determines the replica's positions on the ring.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub Arc<str>);

impl From<&str> for ReplicaId {
    fn from(text: &str) -> Self {
        ReplicaId(text.into())
    }
}

/// The position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// The position of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request may run any number of times.
    Safe,
    /// None within a group of replicas, which deduplicate the request by its key for a limited time.
    Keyed {
        /// The replicas that share the deduplication.
        scope: Scope,
        /// How long these replicas deduplicate, counted from the first attempt that may have run.
        window: Nanos,
    },
    /// The request must not run twice.
    Unsafe,
}

/// The replicas that deduplicate a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All replicas.
    All,
    /// The replicas of one zone.
    Zone,
    /// The replicas of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time to first token that earns the full value, for an empty prompt.
    pub latency_target: Nanos,
    /// Added to the latency target for each token of the prompt.
    pub latency_target_per_token: Nanos,
    /// Target of the mean time between tokens; 0 if there is none.
    pub inter_token_target: Nanos,
    /// How long a client waits in total, over all attempts.
    pub deadline: Nanos,
    /// The effect of a second run.
    pub effect: Effect,
    /// Value of a response within the latency target.
    pub value: f64,
    /// Fraction of the value that a late response earns.
    pub late_value: f64,
    /// Whether the response is a stream whose first token is reported by [`Event::FirstToken`].
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Fraction of the service that is reserved for the tenant.
    pub share: f64,
    /// Requests per second, at all gateways together, that are within the share.
    pub quota_per_s: Option<f64>,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether [`Action::Cancel`] is allowed.
    pub cancellation: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub probes: bool,
    /// Whether [`Action::SendToPeer`] is allowed.
    pub peer_messages: bool,
    /// Maximum retry-after of a refusal; 0 if refusals have none.
    pub max_retry_after: Nanos,
}

/// Parameters of slow start, and the maximum age of the list.
#[derive(Clone, Debug, Default)]
pub struct SlowStartSettings {
    /// Minimum fraction of its capacity that a replica has at its start; above 0 and at most 1.
    pub initial_capacity: f64,
    /// Time from the start of a replica until it has its full capacity.
    pub slow_start_window: Nanos,
    /// A warming replica fails if it gets more work than this multiple of its current capacity within
    /// [`SlowStartSettings::overload_window`].
    pub overload_factor: f64,
    /// The time over which the work for [`SlowStartSettings::overload_factor`] is measured.
    pub overload_window: Nanos,
    /// Maximum age of the list at a gateway that requests it.
    pub max_list_age: Nanos,
}

/// The meaning of a value in a replica's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests in progress.
    InFlight,
    /// Requests queued.
    Queue,
    /// Fraction of slots or cores in use.
    Utilisation,
    /// Recent service time in milliseconds.
    Latency,
    /// Requests served per second.
    Rate,
    /// Errors per second.
    Errors,
    /// Fraction of memory in use by running requests.
    Memory,
    /// Thousands of prompt tokens that are not prefilled yet.
    Unread,
    /// A value that the load balancer does not use.
    Other,
}

/// The meaning of [`Member::units`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnitsMeaning {
    /// None: all replicas count as equal.
    #[default]
    None,
    /// The size of the replica, exact or approximate.
    Size,
    /// The size of the replica, reduced by its load as of some time ago.
    Live,
}

/// Settings of a load balancer.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways that share the fleet.
    pub group_size: u32,
    /// Index of this gateway in the group, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway, as an index like [`Member::zone`].
    pub zone: Option<u16>,
    /// Whether the list of replicas is pushed; else it is requested by [`Action::Watch`] or
    /// [`Action::Fetch`].
    pub has_pushed_list: bool,
    /// Minimum time between two calls of [`LoadBalancer::handle`](crate::LoadBalancer::handle).
    pub tick: Nanos,
    /// Classes of requests, at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Whether a replica can fetch a cached prefix from another one. A prefix then needs only one owner.
    pub has_prefix_transfer: bool,
    /// Value of a request beyond its tenant's share, as a fraction of the class's value.
    pub over_share_value: f64,
    /// What the deployment permits.
    pub limits: Limits,
    /// Parameters of slow start, and the maximum age of the list.
    pub slow_start: SlowStartSettings,
    /// The meaning of the list's units.
    pub units_meaning: UnitsMeaning,
    /// Relative speed of a unit of each machine kind, indexed by [`Member::kind`]; 1 for kinds beyond its
    /// end.
    pub speeds: Vec<f64>,
    /// Calls per second that the list service can serve for all gateways together, if known.
    pub list_calls_per_s: Option<f64>,
    /// The values of a load report in order; empty if there are no reports.
    pub load_metrics: Vec<LoadMetric>,
}

impl Settings {
    /// Requests per second that the tenants' quotas permit at all gateways together; `None` unless each
    /// tenant has one.
    #[must_use]
    pub fn quota_per_s(&self) -> Option<f64> {
        let all: Option<f64> = self.tenants.iter().map(|t| t.quota_per_s).sum();
        all.filter(|sum| *sum > 0.0)
    }
}

/// An error in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// [`Settings::classes`] is empty.
    NoClasses,
    /// [`Settings::group_size`] is 0.
    EmptyGroup,
    /// [`Limits::max_attempts`] is 0.
    NoAttempts,
    /// [`SlowStartSettings::initial_capacity`] is not above 0 and at most 1, or the overload factor is NaN.
    InvalidInitialCapacity,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SettingsError::NoClasses => "the settings have no request classes",
            SettingsError::EmptyGroup => "the group size is 0",
            SettingsError::NoAttempts => "the maximum number of attempts is 0",
            SettingsError::InvalidInitialCapacity => {
                "the initial capacity is not above 0 and at most 1, or the overload factor is NaN"
            }
        })
    }
}

impl std::error::Error for SettingsError {}

/// The state of a replica's process according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The replica accepts requests.
    Ready,
    /// The replica finishes requests in flight and must not be sent new ones.
    Draining,
    /// The replica has left.
    #[default]
    Gone,
}

/// An entry of the list of replicas.
#[derive(Clone, Debug)]
pub struct Member {
    /// The replica.
    pub id: ReplicaId,
    /// Units of the replica, relative to those of others; [`Settings::units_meaning`] states the meaning.
    pub units: f64,
    /// Zone, as an index.
    pub zone: u16,
    /// Machine kind, as an index; replicas of the same kind are assumed to have the same size.
    pub kind: u16,
    /// Cell, for keyed requests.
    pub cell: u64,
    /// State of its process.
    pub phase: Phase,
    /// When the process last started; `None` if long ago.
    pub started: Option<Nanos>,
}

/// The origin of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Changes,
    /// Changes that this gateway made itself, such as an ejection. They don't come from the list service,
    /// and so don't show that it is available.
    Local,
    /// The complete list.
    Complete,
    /// The complete list as this gateway last stored it; it may be out of date.
    Persisted,
    /// A call failed or the watch ended; the last list stays in effect.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// Time until the client's deadline.
    pub expires_in: Nanos,
    /// The class of the request.
    pub class: ClassIndex,
    /// The tenant, if there is one.
    pub tenant: Option<TenantIndex>,
    /// Hash of the prefix that the prompt shares with others.
    pub prefix: Option<u64>,
    /// Hash of the session.
    pub session: Option<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of those tokens that belong to the shared prefix.
    pub prefix_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u32,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was served.
    Ok,
    /// The replica returned an error; the request may have run.
    Error,
    /// The replica had no room and did not run the request.
    Full,
    /// No response in time; the request may have run or still be running.
    TimedOut,
    /// No connection was established: the request never ran.
    NoConnection,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled; the request may have run.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

/// An amount of work at a replica, in a unit of the caller's choice.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaWork {
    /// The replica.
    pub replica: ReplicaId,
    /// The work.
    pub work: f64,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The work of all gateways that is queued at each replica. A report is some tens of milliseconds old.
    Loads(Vec<ReplicaWork>),
    /// This gateway has sent work to a replica, in the unit of [`Event::Loads`].
    WorkSent(ReplicaWork),
    /// An update of the list of replicas.
    List {
        /// The origin of the update.
        kind: ListKind,
        /// The entries, shared so that several gateways in a process can read them without a copy.
        members: Arc<[Member]>,
    },
    /// The list service asks not to be called for this time. The failed call is a separate event.
    ListServiceBusy(Nanos),
    /// A new request.
    Request(Request),
    /// The client has closed its connection before the request ended.
    ClientDisconnected(RequestId),
    /// The response to an attempt has begun.
    FirstToken {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Time since the attempt was sent.
        elapsed: Nanos,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How the attempt ended.
        verdict: Verdict,
        /// Whether the request has ended; else the client still needs a response.
        ended: bool,
        /// Time since the attempt was sent.
        elapsed: Nanos,
        /// Number of prompt tokens that the replica had cached.
        cached_tokens: Option<u32>,
        /// The replica's load, in the order of [`Settings::load_metrics`].
        report: Vec<f64>,
    },
    /// A probe has ended.
    Probed {
        /// The replica.
        replica: ReplicaId,
        /// How the probe ended.
        verdict: Verdict,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The replica's load.
        report: Vec<f64>,
    },
    /// A timer is due.
    Timer(u64),
    /// A message from another gateway.
    PeerMessage {
        /// The index of the sender.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// An output of the state machine, to be performed by the caller in the order of the outputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The replica to send the request to.
        replica: ReplicaId,
        /// The timeout of the attempt.
        timeout: Nanos,
        /// Time from now within which the request must be written; the connection may be established late.
        write_within: Nanos,
    },
    /// Final response: refused; a retry is safe.
    Refuse {
        /// The request.
        id: RequestId,
        /// Retry-after for the client; 0 if there is none.
        retry_after: Nanos,
    },
    /// Final response: failed; the request may have had an effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer, which is reported by [`Event::Timer`].
    Timer {
        /// Time from now.
        after: Nanos,
        /// The token for [`Event::Timer`].
        token: u64,
    },
    /// Watch the list for changes, starting with those since the last update.
    Watch,
    /// Request the complete list once.
    Fetch,
    /// Probe a replica.
    Probe(ReplicaId),
    /// Send a message to one gateway, or to all.
    SendToPeer {
        /// The index of the gateway; `None` for all.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        bytes: Vec<u8>,
    },
}
