//! The possible outcomes of clients' requests.

/// Outcome of a client's request, over all attempts for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response, with the first token within the latency target.
    InTime,
    /// A complete response with a late first token.
    Late,
    /// The last attempt was rejected.
    Rejected,
    /// The last attempt failed or timed out.
    Failed,
    /// The stream broke after the first token.
    Broken,
}

impl RequestOutcome {
    /// Number of variants.
    pub(super) const COUNT: usize = 5;
}
