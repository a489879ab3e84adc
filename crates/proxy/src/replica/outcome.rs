//! The outcome of an attempt, and what it proves about the request and the replica.
//!
//! `docs/design/calls.md` documents the same classification as a table. The code that writes requests and reads
//! responses reports an [`AttemptOutcome`]; [`crate::replica::retry`] decides what follows. This module does no I/O.

use tulipridge_load_balancer::types::Verdict;

// Re-exported for `crate::placement`.
pub use crate::replica::request_kind::RequestKind;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The connection was refused, or the replica is unreachable.
    ConnectRefused,
    /// The connection was not established within the connect timeout.
    ConnectTimedOut,
    /// No connection could be opened: no file descriptor is free, or the limit of connections to replicas is reached.
    OutOfDescriptors,
    /// The connection failed before the request's head was written completely.
    BrokenInRequestHead,
    /// The connection failed after the request's head and before the end of its body. The request may have run, since
    /// a replica may start before it has read the complete body.
    BrokenInRequestBody,
    /// The connection was closed or reset after the complete request, before the first byte of a response.
    BrokenBeforeResponse,
    /// The response broke off before any of it was forwarded.
    BrokenInResponse,
    /// The response broke off after a part of it was forwarded.
    TruncatedResponse,
    /// No response began before the deadline.
    ResponseTimeout,
    /// No response began before the cancellation time of requests queued on the replica's revision of the weights.
    WeightsExpired,
    /// The bytes received are not a valid HTTP response.
    InvalidResponse,
    /// Only responses to earlier requests were received.
    OnlyStaleResponses,
    /// A 2xx response without a valid `Server-Seal` header, or one that also has `Not-Run`.
    Unsealed,
    /// A 2xx response with a content coding. No request asks for one, so this is not the replica's body.
    Encoded,
    /// 421 from another replica, which has taken over the address.
    WrongReplica,
    /// 421 from the intended replica, whose weights have another revision.
    WrongRevision,
    /// An error response with `Not-Run`: the replica guarantees that the request has not run.
    NotRun,
    /// 400 with `Not-Run`: the request is invalid, so no replica would accept it.
    Rejected,
    /// A status that usually means that the request has not run, without `Not-Run` to guarantee it.
    UnconfirmedRefusal,
    /// 500: the request ran and failed.
    ServerError,
    /// Any other complete response that is not a success.
    OtherError,
    /// A 2xx response with a valid `Server-Seal` header.
    Success,
}

impl AttemptOutcome {
    /// All outcomes, in the order of the rows in `docs/design/calls.md`.
    pub const ALL: [AttemptOutcome; 22] = [
        AttemptOutcome::ConnectRefused,
        AttemptOutcome::ConnectTimedOut,
        AttemptOutcome::OutOfDescriptors,
        AttemptOutcome::BrokenInRequestHead,
        AttemptOutcome::BrokenInRequestBody,
        AttemptOutcome::BrokenBeforeResponse,
        AttemptOutcome::BrokenInResponse,
        AttemptOutcome::TruncatedResponse,
        AttemptOutcome::ResponseTimeout,
        AttemptOutcome::WeightsExpired,
        AttemptOutcome::InvalidResponse,
        AttemptOutcome::OnlyStaleResponses,
        AttemptOutcome::Unsealed,
        AttemptOutcome::Encoded,
        AttemptOutcome::WrongReplica,
        AttemptOutcome::WrongRevision,
        AttemptOutcome::NotRun,
        AttemptOutcome::Rejected,
        AttemptOutcome::UnconfirmedRefusal,
        AttemptOutcome::ServerError,
        AttemptOutcome::OtherError,
        AttemptOutcome::Success,
    ];

    /// What this outcome proves about whether the request ran.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            AttemptOutcome::ConnectRefused
            | AttemptOutcome::ConnectTimedOut
            | AttemptOutcome::OutOfDescriptors
            | AttemptOutcome::BrokenInRequestHead
            | AttemptOutcome::WrongReplica
            | AttemptOutcome::WrongRevision
            | AttemptOutcome::NotRun
            | AttemptOutcome::Rejected => Execution::NotRun,
            AttemptOutcome::BrokenInRequestBody
            | AttemptOutcome::BrokenBeforeResponse
            | AttemptOutcome::BrokenInResponse
            | AttemptOutcome::TruncatedResponse
            | AttemptOutcome::ResponseTimeout
            | AttemptOutcome::WeightsExpired
            | AttemptOutcome::InvalidResponse
            | AttemptOutcome::OnlyStaleResponses
            | AttemptOutcome::Unsealed
            | AttemptOutcome::Encoded
            | AttemptOutcome::UnconfirmedRefusal
            | AttemptOutcome::ServerError
            | AttemptOutcome::OtherError => Execution::MayHaveRun,
            AttemptOutcome::Success => Execution::HasRun,
        }
    }

    /// The verdict on the replica that is reported to the load balancer.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            AttemptOutcome::ConnectRefused
            | AttemptOutcome::ConnectTimedOut
            | AttemptOutcome::BrokenInRequestHead => Verdict::NoConnection,
            AttemptOutcome::OutOfDescriptors => Verdict::NotSent,
            AttemptOutcome::BrokenInRequestBody
            | AttemptOutcome::BrokenBeforeResponse
            | AttemptOutcome::BrokenInResponse
            | AttemptOutcome::TruncatedResponse
            | AttemptOutcome::InvalidResponse
            | AttemptOutcome::OnlyStaleResponses
            | AttemptOutcome::Unsealed
            | AttemptOutcome::Encoded
            | AttemptOutcome::UnconfirmedRefusal => Verdict::Reset,
            AttemptOutcome::ResponseTimeout => Verdict::TimedOut,
            AttemptOutcome::WeightsExpired => Verdict::Cancelled,
            AttemptOutcome::WrongReplica
            | AttemptOutcome::WrongRevision
            | AttemptOutcome::NotRun
            | AttemptOutcome::Rejected => Verdict::Full,
            AttemptOutcome::ServerError | AttemptOutcome::OtherError => Verdict::Error,
            AttemptOutcome::Success => Verdict::Ok,
        }
    }
}

/// Whether a request has run, as far as is known. After several attempts the greatest value applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// The request has not run, and this attempt can no longer run it.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
    /// The request has run.
    HasRun,
}
