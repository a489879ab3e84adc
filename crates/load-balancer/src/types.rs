//! Settings, events, actions and ids: the interface of a [`LoadBalancer`](crate::LoadBalancer).

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in nanoseconds of the caller's clock. It stays an alias: all arithmetic of the decisions
/// is on integers of this width.
pub type Nanos = u64;

/// The caller's name for a request; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A replica's id: the same at every gateway, and all that decides its positions on the ring.
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

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may run any number of times.
    Safe,
    /// Nothing within a group of replicas, which discard repeats for a while after the first send.
    Keyed {
        /// Which replicas discard each other's repeats.
        scope: Scope,
        /// For how long, counted from the first send that may have run.
        window: Nanos,
    },
    /// Harm: it must not run twice.
    Unsafe,
}

/// The replicas that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A first token within this time earns the full value ...
    pub latency_target: Nanos,
    /// ... plus so much for each token of the prompt.
    pub latency_target_per_token: Nanos,
    /// The time between tokens that is wanted on average; 0 where none is stated.
    pub inter_token_target: Nanos,
    /// How long a client waits in all, over all its attempts.
    pub deadline: Nanos,
    /// What a second run does.
    pub effect: Effect,
    /// Value of a response in time.
    pub value: f64,
    /// Fraction of the value that a late response earns.
    pub late_value: f64,
    /// The response is a stream whose first token is reported by [`Event::FirstToken`].
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Fraction of the service that is its own.
    pub share: f64,
    /// Requests a second, at all gateways together, that count as within the share.
    pub quota_per_s: Option<f64>,
}

/// What the site allows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts per request at the most.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancellation: bool,
    /// [`Action::Probe`] is allowed.
    pub probes: bool,
    /// [`Action::SendToPeer`] is allowed.
    pub peer_messages: bool,
    /// Longest time for which a refused client is asked to stay away; 0 where it is given no advice.
    pub max_retry_after: Nanos,
}

/// The figures behind slow start and the age of the list.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// A replica starts with at least this fraction of its capacity, above 0 and at most 1 ...
    pub initial_capacity: f64,
    /// ... and has all of it after this time.
    pub slow_start_window: Nanos,
    /// Work beyond this multiple of the present capacity ...
    pub overload_factor: f64,
    /// ... over this time makes a warming replica fail.
    pub overload_window: Nanos,
    /// A gateway that polls the list must not stay without it for longer than this.
    pub max_list_age: Nanos,
}

/// A value of a replica's load report.
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
    /// Requests served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Fraction of memory in use by running requests.
    Memory,
    /// Thousands of prompt tokens not yet read.
    Unread,
    /// A value that the load balancer has no use for.
    Other,
}

/// What [`Member::units`] says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnitsMeaning {
    /// Nothing: all are alike.
    #[default]
    None,
    /// The size, exact or rough.
    Size,
    /// The size, lowered by the load that a replica had some time ago.
    Live,
}

/// All that a gateway needs to know at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Gateways that share the fleet.
    pub group_size: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// This gateway's zone, an index that [`Member::zone`] uses too.
    pub zone: Option<u16>,
    /// The list of replicas is pushed; else it comes after [`Action::Watch`] or [`Action::Fetch`].
    pub has_pushed_list: bool,
    /// Least time between two calls of [`LoadBalancer::handle`](crate::LoadBalancer::handle).
    pub tick: Nanos,
    /// Classes of requests, at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// A replica can fetch a cached prefix from another one, so that one owner is enough for each.
    pub has_prefix_transfer: bool,
    /// Value of a request beyond its tenant's share, as a fraction of its class's value.
    pub over_share_value: f64,
    /// What is allowed.
    pub limits: Limits,
    /// Slow start and the age of the list.
    pub safety: Safety,
    /// What the units of the list say.
    pub units: UnitsMeaning,
    /// The speed of a unit of each kind of machine beside those of others, by [`Member::kind`]; 1 where it is not
    /// stated.
    pub speeds: Vec<f64>,
    /// Calls that the list service can answer in a second, for all gateways together, where it is stated.
    pub list_calls_per_s: Option<f64>,
    /// What the values of a load report mean, in order; empty where there are none.
    pub load_metrics: Vec<LoadMetric>,
}

impl Settings {
    /// Requests a second that the tenants' quotas grant at all gateways together; none unless each tenant has one.
    #[must_use]
    pub fn quota_per_s(&self) -> Option<f64> {
        let all: Option<f64> = self.tenants.iter().map(|t| t.quota_per_s).sum();
        all.filter(|sum| *sum > 0.0)
    }
}

/// Settings that a gateway can't work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// [`Settings::classes`] is empty.
    NoClasses,
    /// [`Settings::group_size`] is 0.
    EmptyGroup,
    /// [`Limits::max_attempts`] is 0.
    NoAttempts,
    /// [`Safety::initial_capacity`] is not above 0 and at most 1, or [`Safety::overload_factor`] is no number.
    InvalidInitialCapacity,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SettingsError::NoClasses => "no classes of requests",
            SettingsError::EmptyGroup => "a group of no gateways",
            SettingsError::NoAttempts => "no attempt is allowed",
            SettingsError::InvalidInitialCapacity => "the cold share is not within 0 to 1",
        })
    }
}

impl std::error::Error for SettingsError {}

/// What discovery knows of a replica's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Ready,
    /// It finishes what is in flight; nothing new may go there.
    Draining,
    /// It has left.
    #[default]
    Gone,
}

/// An entry of the list of replicas.
#[derive(Clone, Debug)]
pub struct Member {
    /// The replica.
    pub id: ReplicaId,
    /// To be compared with other replicas'; [`Settings::units`] says what it means.
    pub units: f64,
    /// Zone, as an index.
    pub zone: u16,
    /// Kind of machine, as an index; only replicas of one kind are taken to be of one size.
    pub kind: u16,
    /// Cell, for keyed requests.
    pub cell: u64,
    /// State of its process.
    pub phase: Phase,
    /// When it last started; `None` is long ago.
    pub started: Option<Nanos>,
}

/// How a list came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what has changed.
    Changes,
    /// Changes that this gateway made itself, as when it ejects a replica: they say nothing of the list service.
    Local,
    /// The complete list.
    Complete,
    /// The complete list as this gateway last stored it, perhaps out of date.
    Persisted,
    /// A call failed or the watch broke; the last list stays in force.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Time until the client gives up this attempt.
    pub expires_in: Nanos,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantIndex>,
    /// Hash of the prefix that the prompt shares with others.
    pub prefix: Option<u64>,
    /// Hash of the session that it belongs to.
    pub session: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix among them.
    pub prefix_tokens: u32,
    /// Tokens of the response at the most.
    pub max_output_tokens: u32,
    /// A client's retry, where clients mark these.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served.
    Ok,
    /// The replica returned an error; it may have run.
    Error,
    /// Rejected unseen.
    Full,
    /// No response in time; it may have run or run still.
    TimedOut,
    /// No connection: it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Work at a replica, in units that the caller chooses.
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
    /// How much work of all gateways is queued at each replica, as of some tens of milliseconds ago.
    Loads(Vec<ReplicaWork>),
    /// This gateway sends a replica so much work, in the unit of [`Event::Loads`].
    WorkSent(ReplicaWork),
    /// An update of the list of replicas.
    List {
        /// How it came about.
        kind: ListKind,
        /// Its entries, shared so that several gateways in a process can read them at no cost.
        members: Arc<[Member]>,
    },
    /// The list service asks not to be called for so long. The failed call is an event of its own.
    ListServiceBusy(Nanos),
    /// A request to be placed and answered.
    Request(Request),
    /// The client has left.
    Expired(RequestId),
    /// The response to an attempt has begun.
    FirstToken {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Time since it was sent.
        elapsed: Nanos,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How.
        verdict: Verdict,
        /// The request is finished; else this gateway still owes a response.
        ended: bool,
        /// Time since it was sent.
        elapsed: Nanos,
        /// Prompt tokens that the replica had cached.
        cached_tokens: Option<u32>,
        /// The replica's load, in the order of [`Settings::load_metrics`].
        report: Vec<f64>,
    },
    /// A probe has ended.
    Probed {
        /// The replica.
        replica: ReplicaId,
        /// How.
        verdict: Verdict,
        /// Time since it was sent.
        elapsed: Nanos,
        /// The replica's load.
        report: Vec<f64>,
    },
    /// A timer is due.
    Timer(u64),
    /// A message of another gateway.
    PeerMessage {
        /// Its index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What the caller has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        replica: ReplicaId,
        /// Its time-out.
        timeout: Nanos,
        /// It may be written so long from now on: a connection may come up late.
        write_within: Nanos,
    },
    /// Final response: declined; a retry does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 is no advice.
        retry_after: Nanos,
    },
    /// Final response: failed, nothing said about effects.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer, due with [`Event::Timer`].
    Timer {
        /// From now.
        after: Nanos,
        /// To be handed back.
        token: u64,
    },
    /// Request changes of the list from now on, missed ones first.
    Watch,
    /// Request the complete list once.
    Fetch,
    /// Probe a replica.
    Probe(ReplicaId),
    /// Send a message to one gateway, or to all.
    SendToPeer {
        /// The gateway's index, or all.
        to: Option<u32>,
        /// The message, 256 bytes at the most.
        bytes: Vec<u8>,
    },
}
