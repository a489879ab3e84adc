//! Settings, events, actions and ids: all that crosses the border of a [`Gateway`](crate::Gateway).

use std::fmt;
use std::sync::Arc;

/// A time or a span, in nanoseconds of the caller's clock.
pub type Nanos = u64;

/// The caller's name for a request; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A replica's id: the same at every gateway, and all that decides its place on the ring.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub Arc<str>);

impl From<&str> for ReplicaId {
    fn from(text: &str) -> Self {
        ReplicaId(text.into())
    }
}

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
    /// A first token within this time earns the full worth ...
    pub aim: Nanos,
    /// ... plus so much for each token of the prompt.
    pub aim_per_token: Nanos,
    /// The time between tokens that is wanted on average; 0 where none is stated.
    pub token_aim: Nanos,
    /// How long a client waits in all, over all its tries.
    pub deadline: Nanos,
    /// What a second run does.
    pub effect: Effect,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// The answer comes as a stream, its first token told by [`Event::FirstToken`].
    pub stream: bool,
}

/// A tenant and its share.
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
    pub attempts: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub probes: bool,
    /// [`Action::Tell`] is allowed.
    pub peers: bool,
    /// Longest wait that a refused client heeds; 0 where it is given none.
    pub retry_after: Nanos,
}

/// The figures behind the rules.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// A replica starts with at least this share of its capacity ...
    pub cold_from: f64,
    /// ... and has all of it after this time.
    pub ramp: Nanos,
    /// Work beyond this multiple of the present capacity ...
    pub overload_factor: f64,
    /// ... over this time makes a cold replica fall.
    pub fall: Nanos,
    /// A gateway that only asks for the list must not stay without it for longer than this.
    pub ask_within: Nanos,
}

/// A value of a replica's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Requests in hand.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Share of slots or cores in use.
    Utilisation,
    /// Recent service time in milliseconds.
    Latency,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Share of memory held by running requests.
    Memory,
    /// Thousands of prompt tokens not yet read.
    Unread,
    /// A value this module has no use for.
    Other,
}

/// What [`Member::units`] tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Units {
    /// Nothing: all are alike.
    #[default]
    None,
    /// The size, exact or rough.
    Size,
    /// The size, lowered the more a replica held some time ago.
    Live,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Gateways that share the fleet.
    pub group_size: u32,
    /// This gateway's number among them, from 0.
    pub me: u32,
    /// This gateway's zone, an index that [`Member::zone`] uses too.
    pub zone: Option<u16>,
    /// The list of replicas comes unasked; else after [`Action::Watch`] or [`Action::Fetch`].
    pub push: bool,
    /// Least time between two calls of [`Gateway::handle`](crate::Gateway::handle).
    pub tick: Nanos,
    /// Classes of requests, at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// A replica can take over what another one keeps of a beginning, so that one owner is enough for each.
    pub movable: bool,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// What is allowed.
    pub limits: Limits,
    /// What must be kept.
    pub safety: Safety,
    /// What the units of the list tell.
    pub units: Units,
    /// What a unit of each kind of machine does beside those of others, by [`Member::kind`]; 1 where nothing
    /// is said.
    pub speeds: Vec<f64>,
    /// Calls that the list service can answer in a second, for all gateways together, where somebody has said.
    pub list_calls_per_s: Option<f64>,
    /// What the values of a load report mean, in order; empty where there are none.
    pub gauges: Vec<Gauge>,
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What discovery knows of a replica's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Ready,
    /// It finishes what it has; nothing new may go there.
    Draining,
    /// It has left.
    #[default]
    Gone,
}

/// A line of the list of replicas.
#[derive(Clone, Debug)]
pub struct Member {
    /// The replica.
    pub id: ReplicaId,
    /// To be compared with other replicas'; [`Settings::units`] says what it tells.
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
    /// Changes that this gateway made itself, as when a real server rests: they say nothing of the list service.
    Own,
    /// The whole list.
    Whole,
    /// The whole list as this gateway last held it, perhaps out of date.
    Persisted,
    /// A call failed or the watch broke; the list held stays in force.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Time until the client gives up this try.
    pub expires_in: Nanos,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// The beginning that the prompt shares with others.
    pub prefix: Option<u64>,
    /// The session it belongs to.
    pub session: Option<u64>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the shared beginning among them.
    pub prefix_len: u32,
    /// Tokens of the answer at the most.
    pub max_answer: u32,
    /// A client's repeat, where clients mark these.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served.
    Ok,
    /// The replica returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or run still.
    TimedOut,
    /// No connection: it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// How much work of all gateways waits at each replica, as told some tens of milliseconds ago.
    Loads(Vec<(ReplicaId, f64)>),
    /// This gateway sends a replica so much work, in the unit of [`Event::Loads`].
    Work(ReplicaId, f64),
    /// News of the list of replicas.
    List {
        /// How it came about.
        kind: ListKind,
        /// Its lines, shared so that several gateways in a process can be told at no cost.
        members: Arc<[Member]>,
    },
    /// The list service asks to be left alone for so long. The failed call is told beside it.
    Busy(Nanos),
    /// A request to be placed and answered.
    Request(Request),
    /// The client has left.
    Expired(RequestId),
    /// An attempt's answer has begun.
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
        /// The request is finished; else this gateway still owes an answer.
        ended: bool,
        /// Time since it was sent.
        elapsed: Nanos,
        /// Prompt tokens that the replica had kept.
        kept: Option<u32>,
        /// The replica's load, in the order of [`Settings::gauges`].
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
    /// Another gateway's message.
    Peer {
        /// Its number.
        from: u32,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// What a gateway wants done, in this order.
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
    /// Final answer: declined; a retry does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 is no advice.
        wait: Nanos,
    },
    /// Final answer: failed, nothing said about effects.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// From now.
        after: Nanos,
        /// To be handed back.
        token: u64,
    },
    /// Ask for changes of the list from now on, missed ones first.
    Watch,
    /// Ask for the whole list once.
    Fetch,
    /// Examine a replica.
    Probe(ReplicaId),
    /// Send a message to one gateway, or to all.
    Tell {
        /// The gateway's number, or all.
        to: Option<u32>,
        /// The message, 256 bytes at the most.
        bytes: Vec<u8>,
    },
}
