//! Whether a connection to a replica may carry another request after a complete response.

/// What a complete response leaves of the connection that it came on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// Each byte belongs to one request, and none is outstanding.
    Clean,
    /// Bytes came after the end of the response.
    SurplusBytes,
    /// A response to an earlier request came first.
    StaleResponse,
    /// The response ended before the request was written completely.
    RequestIncomplete,
    /// The replica announced that it closes the connection.
    ClosedByReplica,
    /// The end of the connection was the end of the response.
    DelimitedByClose,
    /// The request had no id, so a late response to it could not be told from the next one.
    NoAttemptId,
    /// The response to HEAD has no body whatever its head says, so a late one could not be framed.
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
