//! Outcomes of clients' requests.

/// The outcome of a client's request, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response, with the first token within the latency target.
    InTime,
    /// A complete response with a late first token.
    Late,
    /// Rejected at the last attempt.
    Rejected,
    /// Failed or timed out at the last attempt.
    Failed,
    /// The stream broke after the first token.
    Broken,
}

impl RequestOutcome {
    /// The number of outcomes.
    pub(super) const COUNT: usize = 5;
}
