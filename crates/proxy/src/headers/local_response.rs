//! Responses that the proxy itself generates, without a replica.

use std::io::Write;
use std::time::Duration;

use tulipridge_http1::codec;

use super::{Persistence, write_line, write_persistence};

/// The status of a refused request.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A response that the proxy itself generates. Its body is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The status.
    pub status: u16,
    /// The delay after which the client may retry, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// A response with this status and no `Retry-After`.
    #[must_use]
    pub fn plain(status: u16) -> Self {
        LocalResponse { status, retry_after: None }
    }

    /// 503 with `Retry-After`: a retry is safe, because the request has not run and will not run, or is idempotent.
    #[must_use]
    pub fn refusal(retry_after: Duration) -> Self {
        LocalResponse { status: SERVICE_UNAVAILABLE, retry_after: Some(retry_after) }
    }

    /// Whether the response refuses the request.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        self.status == SERVICE_UNAVAILABLE
    }

    /// Encodes the complete response. `attempt_id` is the `Attempt-Id` that the client sent.
    pub fn write(self, attempt_id: Option<&str>, persistence: Persistence, out: &mut Vec<u8>) {
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, codec::reason(self.status));
        if let Some(id) = attempt_id {
            write_line(out, &["Attempt-Id: ", id]);
        }
        if let Some(time) = self.retry_after {
            let _ = write!(out, "Retry-After: {:.3}\r\n", time.as_secs_f64());
        }
        write_line(out, &["Content-Length: 0"]);
        write_persistence(persistence, out);
    }
}
