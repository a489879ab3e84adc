//! How an attempt ended, and what that proves about the request and the replica.
//!
//! `docs/design/calls.md` has the same classification as a table. The code that writes requests and reads responses
//! reports an [`AttemptOutcome`]; [`crate::replica::retry`] decides what follows. Nothing here does I/O.

use tulipridge_load_balancer::types::Verdict;

// `crate::placement` imports it from here.
pub use crate::replica::request_kind::RequestKind;

/// How an attempt to have a request served by one replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The connection was refused, or the replica is unreachable.
    ConnectRefused,
    /// The connection did not come up within the connect timeout.
    ConnectTimedOut,
    /// This process can't open another descriptor.
    OutOfDescriptors,
    /// The connection failed before the request's head was written completely.
    BrokenInRequestHead,
    /// The connection failed after the request's head and before the end of its body. A replica may start before it
    /// has read all of a body.
    BrokenInRequestBody,
    /// The connection ended or was reset after the complete request, without a byte of a response.
    BrokenBeforeResponse,
    /// The response broke off before anything of it was forwarded.
    BrokenInResponse,
    /// The response broke off after a part of it was forwarded.
    TruncatedResponse,
    /// No response began before the deadline.
    ResponseTimeout,
    /// No response began before requests queued on the replica's revision of the weights had to be cancelled.
    WeightsExpired,
    /// The bytes that came are no HTTP response.
    InvalidResponse,
    /// Only responses to earlier requests came.
    OnlyStaleResponses,
    /// A success without the replica's seal.
    Unsealed,
    /// A success with a content coding: it is not the replica's body.
    Encoded,
    /// 421 of another replica, which has the address now.
    WrongReplica,
    /// 421 of the replica itself, whose weights have another revision.
    WrongRevision,
    /// The replica refused the request and states that it has not run.
    NotRun,
    /// 400 of a replica that states that the request has not run: no replica would accept it.
    Rejected,
    /// A status that usually means that the request has not run, without the replica's statement that it has not.
    UnconfirmedRefusal,
    /// 500: the request ran and failed.
    ServerError,
    /// Any other complete response that is no success.
    OtherError,
    /// A sealed success.
    Success,
}

impl AttemptOutcome {
    /// All outcomes, in the order of the rows of `docs/design/calls.md`.
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

    /// Whether the request may have run, as far as this outcome proves.
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

    /// What is reported to the load balancer about the replica.
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

/// Whether a request has run, as far as is known. After several attempts the greatest value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// It has not run, and this attempt can't run it any more.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
    /// It has run.
    HasRun,
}
