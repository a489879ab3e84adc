//! Limits for callers of the API.

use std::time::Duration;

use tulipridge_http1::Http1Limits;

/// What a caller may send and how long it may take.
#[derive(Clone, Debug)]
pub struct ApiLimits {
    /// Sizes of heads and bodies; a body may have 8 MiB.
    pub http1: Http1Limits,
    /// Time for which a connection may be idle between requests; 15 s.
    pub idle_timeout: Duration,
    /// Time for a complete head to arrive, once it has begun; 3 s.
    pub head_timeout: Duration,
    /// Time for a complete body to arrive; 20 s.
    pub body_timeout: Duration,
    /// Time for the caller to read a response; 10 s.
    pub response_timeout: Duration,
    /// Time for a primary to be found while none is known; 700 ms, since callers turn to another member after a second
    /// without a response.
    pub primary_timeout: Duration,
}

impl Default for ApiLimits {
    fn default() -> ApiLimits {
        let http1 = Http1Limits { body_bytes: 8 << 20, read_bytes: 64 << 10, ..Http1Limits::default() };
        ApiLimits {
            http1,
            idle_timeout: Duration::from_secs(15),
            head_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(20),
            response_timeout: Duration::from_secs(10),
            primary_timeout: Duration::from_millis(700),
        }
    }
}
