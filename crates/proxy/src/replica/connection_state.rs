//! Whether a connection to a replica may carry another request after a complete response.

/// The state of a connection after a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// The request was written and its response read completely, and no other bytes were received.
    Clean,
    /// Bytes were received after the end of the response.
    SurplusBytes,
    /// A response to an earlier request was received before this one.
    StaleResponse,
    /// The response ended before the request was written completely.
    RequestIncomplete,
    /// The replica announced that it will close the connection.
    ClosedByReplica,
    /// The body was delimited by the end of the connection.
    DelimitedByClose,
    /// The request had no attempt id, so a late response to it could not be distinguished from the next response.
    NoAttemptId,
    /// The request was HEAD. Its response has no body whatever the head states, so a late response could not be framed.
    HeadRequest,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [ConnectionState; 8] = [
        ConnectionState::Clean,
        ConnectionState::SurplusBytes,
        ConnectionState::StaleResponse,
        ConnectionState::RequestIncomplete,
        ConnectionState::ClosedByReplica,
        ConnectionState::DelimitedByClose,
        ConnectionState::NoAttemptId,
        ConnectionState::HeadRequest,
    ];

    /// Whether the connection may carry another request.
    #[must_use]
    pub fn is_reusable(self) -> bool {
        self == ConnectionState::Clean
    }
}
