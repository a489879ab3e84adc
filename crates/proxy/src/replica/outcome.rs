//! What is known of a request after each way in which a send to a replica can end, and what is done then.
//!
//! This is the one table of these decisions; `docs/design/calls.md` is the same table as a page. The code that
//! writes requests and reads answers names the event, and does what the table says. Nothing here does I/O.

use tulipridge_configuration::{Route, RouteKind};
use tulipridge_load_balancer::types::Verdict;

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// It may run any number of times.
    Safe,
    /// It may run once at most.
    Unsafe,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another replica may start anew or go on with.
    ResumableStream,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 4] =
        [RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream, RequestKind::ResumableStream];

    /// The kind of a route's requests.
    #[must_use]
    pub fn of(route: &Route) -> RequestKind {
        match route.kind {
            RouteKind::Harmless => RequestKind::Safe,
            RouteKind::Risky => RequestKind::Unsafe,
            RouteKind::Stream if route.resumable => RequestKind::ResumableStream,
            RouteKind::Stream => RequestKind::Stream,
        }
    }

    /// Whether it may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::ResumableStream)
    }
}

/// How a send to a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendEvent {
    /// No connection came up: it was refused, or its replica can't be reached.
    ConnectRefused,
    /// No connection came up within its time.
    ConnectTimedOut,
    /// This process may open no further connection.
    NoDescriptor,
    /// The connection failed before the head was written whole.
    BrokenInHead,
    /// The connection failed between the head and the end of the body. A replica may start before it has read all
    /// of a body.
    BrokenInBody,
    /// The connection ended or was reset after the whole request, without a byte of an answer.
    BrokenBeforeAnswer,
    /// The answer broke off before anything of it was passed on.
    BrokenInAnswer,
    /// The answer broke off after a part of it was passed on.
    CutAnswer,
    /// No answer came up to the deadline.
    Silence,
    /// No answer came up to the time from which on the replica's weights must not be used.
    Outdated,
    /// The bytes that came are no answer.
    NotHttp,
    /// Answers to other requests came, and the one that is due did not.
    OnlyForeign,
    /// A success without the replica's seal.
    Unsealed,
    /// A success whose body is encoded: it is not the replica's body.
    Encoded,
    /// 421 of another replica, which has the address now.
    WrongReplica,
    /// 421 of the replica itself, whose weights have another revision.
    WrongRevision,
    /// The replica turned the request away and says that it has not run.
    NotRun,
    /// 400 of a replica that says that the request has not run: no replica would take it.
    Rejected,
    /// A status that promises that the request has not run, without the replica's word for it.
    FalsePromise,
    /// 500: the request has run and failed.
    ServerError,
    /// Any other whole answer that is no success.
    OtherFailure,
    /// A sealed success.
    Success,
}

impl SendEvent {
    /// All events.
    pub const ALL: [SendEvent; 22] = [
        SendEvent::ConnectRefused,
        SendEvent::ConnectTimedOut,
        SendEvent::NoDescriptor,
        SendEvent::BrokenInHead,
        SendEvent::BrokenInBody,
        SendEvent::BrokenBeforeAnswer,
        SendEvent::BrokenInAnswer,
        SendEvent::CutAnswer,
        SendEvent::Silence,
        SendEvent::Outdated,
        SendEvent::NotHttp,
        SendEvent::OnlyForeign,
        SendEvent::Unsealed,
        SendEvent::Encoded,
        SendEvent::WrongReplica,
        SendEvent::WrongRevision,
        SendEvent::NotRun,
        SendEvent::Rejected,
        SendEvent::FalsePromise,
        SendEvent::ServerError,
        SendEvent::OtherFailure,
        SendEvent::Success,
    ];

    /// What the event tells of the request.
    #[must_use]
    pub fn known(self) -> Known {
        match self {
            SendEvent::ConnectRefused
            | SendEvent::ConnectTimedOut
            | SendEvent::NoDescriptor
            | SendEvent::BrokenInHead
            | SendEvent::WrongReplica
            | SendEvent::WrongRevision
            | SendEvent::NotRun
            | SendEvent::Rejected => Known::NotRun,
            SendEvent::BrokenInBody
            | SendEvent::BrokenBeforeAnswer
            | SendEvent::BrokenInAnswer
            | SendEvent::CutAnswer
            | SendEvent::Silence
            | SendEvent::Outdated
            | SendEvent::NotHttp
            | SendEvent::OnlyForeign
            | SendEvent::Unsealed
            | SendEvent::Encoded
            | SendEvent::FalsePromise
            | SendEvent::ServerError
            | SendEvent::OtherFailure => Known::MayHaveRun,
            SendEvent::Success => Known::HasRun,
        }
    }

    /// What the decision module is told of the replica.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            SendEvent::ConnectRefused | SendEvent::ConnectTimedOut | SendEvent::BrokenInHead => {
                Verdict::NoConnection
            }
            SendEvent::NoDescriptor => Verdict::NotSent,
            SendEvent::BrokenInBody
            | SendEvent::BrokenBeforeAnswer
            | SendEvent::BrokenInAnswer
            | SendEvent::CutAnswer
            | SendEvent::NotHttp
            | SendEvent::OnlyForeign
            | SendEvent::Unsealed
            | SendEvent::Encoded
            | SendEvent::FalsePromise => Verdict::Reset,
            SendEvent::Silence => Verdict::TimedOut,
            SendEvent::Outdated => Verdict::Cancelled,
            SendEvent::WrongReplica
            | SendEvent::WrongRevision
            | SendEvent::NotRun
            | SendEvent::Rejected => Verdict::Full,
            SendEvent::ServerError | SendEvent::OtherFailure => Verdict::Error,
            SendEvent::Success => Verdict::Ok,
        }
    }
}

/// What is known of a request after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Known {
    /// It has not run, and never will by this send.
    NotRun,
    /// It may have run, or run still.
    MayHaveRun,
    /// It has run.
    HasRun,
}

/// What is done after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Next {
    /// It is sent again, if tries, budget and time allow; else the client gets [`last_answer`].
    SendAgain,
    /// It is sent again, if tries, budget and time allow; else the client gets the replica's failure.
    SendAgainOrPassOn,
    /// Another replica goes on behind the last whole event, if tries, budget and time allow; else the answer is
    /// broken off.
    Resume,
    /// The client gets the replica's answer.
    PassOn,
    /// The client gets [`last_answer`].
    Fail,
    /// The client's connection ends without the end of the answer.
    BreakOff,
}

/// A cell of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// What is known.
    pub known: Known,
    /// What is done.
    pub next: Next,
    /// What the decision module is told.
    pub verdict: Verdict,
}

/// The table.
#[must_use]
pub fn decide(kind: RequestKind, event: SendEvent) -> Outcome {
    let known = event.known();
    let next = match event {
        SendEvent::Success | SendEvent::Rejected | SendEvent::OtherFailure => Next::PassOn,
        SendEvent::ServerError if kind.is_repeatable() => Next::SendAgainOrPassOn,
        SendEvent::ServerError => Next::PassOn,
        SendEvent::CutAnswer if kind == RequestKind::ResumableStream => Next::Resume,
        SendEvent::CutAnswer => Next::BreakOff,
        // The deadline is over for every replica.
        SendEvent::Silence => Next::Fail,
        _ if may_send_again(kind, known) => Next::SendAgain,
        _ => Next::Fail,
    };
    Outcome { known, next, verdict: event.verdict() }
}

/// Whether a request of which so much is known may be sent to another replica.
#[must_use]
pub fn may_send_again(kind: RequestKind, known: Known) -> bool {
    known == Known::NotRun || kind.is_repeatable()
}

/// The proxy's own last word to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastAnswer {
    /// 503 with a time to come back after: the request has not run and never will, or may run again.
    Refusal,
    /// 502: nothing is promised.
    BadGateway,
    /// 504: nothing is promised, and the time is over.
    GatewayTimeout,
}

/// The answer to a request that no replica has answered. `has_given_up` says that nobody is to be asked any more,
/// though there would be time.
#[must_use]
pub fn last_answer(kind: RequestKind, known: Known, is_late: bool, has_given_up: bool) -> LastAnswer {
    match known {
        Known::NotRun => LastAnswer::Refusal,
        _ if has_given_up && kind.is_repeatable() => LastAnswer::Refusal,
        _ if is_late => LastAnswer::GatewayTimeout,
        _ => LastAnswer::BadGateway,
    }
}

/// What a whole answer leaves of the connection that it came on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// Each byte belongs to one request, and none is due.
    Clean,
    /// Bytes came behind the answer.
    Surplus,
    /// An answer to another request came in the place of this one.
    LateAnswer,
    /// The answer came before the request was written whole: the rest of its body is due.
    RestDue,
    /// The replica said that it closes the connection.
    ClosedByReplica,
    /// The end of the connection was the end of the answer.
    EndsWithAnswer,
    /// The request had no id: a late answer to it could not be told from the one due next.
    NoAttemptId,
    /// The answer had no body whatever its head says: a late one could not be framed.
    HeadRequest,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [ConnectionState; 8] = [
        ConnectionState::Clean,
        ConnectionState::Surplus,
        ConnectionState::LateAnswer,
        ConnectionState::RestDue,
        ConnectionState::ClosedByReplica,
        ConnectionState::EndsWithAnswer,
        ConnectionState::NoAttemptId,
        ConnectionState::HeadRequest,
    ];

    /// Whether the connection may carry another request.
    #[must_use]
    pub fn is_reusable(self) -> bool {
        self == ConnectionState::Clean
    }
}
