//! Limits on clients of the API.

use std::time::Duration;

use tulipridge_http1::Http1Limits;

/// Limits on the size of requests and on the time that a client may take.
#[derive(Clone, Debug)]
pub struct ApiLimits {
    /// Limits on the sizes of heads and bodies. Default for a body: 8 MiB.
    pub http1: Http1Limits,
    /// Time that a connection may be idle between requests. Default: 15 s.
    pub idle_timeout: Duration,
    /// Time for a complete request head to arrive after its first byte. Default: 3 s.
    pub head_timeout: Duration,
    /// Time for a complete request body to arrive. Default: 20 s.
    pub body_timeout: Duration,
    /// Time for the client to read a response. Default: 10 s.
    pub response_timeout: Duration,
    /// Time to wait for a primary while none is known. Default: 700 ms, since clients try another member after 1 s
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
