//! Resource limits and timeouts of connections and parsers.

use std::time::Duration;

/// Resource limits and timeouts of a connection. All limits of this package are defined here, except the maximum
/// number of digits of a chunk size.
#[derive(Clone, Debug)]
pub struct Http1Limits {
    /// Maximum size of the head of a message, in bytes.
    pub head_bytes: usize,
    /// Maximum number of header lines, and of trailer lines, of a message.
    pub headers: usize,
    /// Maximum size of a request body, and of one chunk of a request or response, in bytes.
    pub body_bytes: usize,
    /// Maximum size in bytes of one event of a stream including its framing lines, and of the body of an error response
    /// that is read completely.
    pub event_bytes: usize,
    /// Maximum length of a chunk size line or trailer line, in bytes.
    pub line_bytes: usize,
    /// Maximum size of a chunk that is buffered until it is complete, in bytes. The data of a larger chunk are
    /// forwarded as they arrive.
    pub buffered_chunk_bytes: usize,
    /// Maximum number of bytes of one read from a socket.
    pub read_bytes: usize,
    /// Size requested for each socket buffer, in bytes. The kernel may use twice as much.
    pub socket_buffer: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// After the last response, a connection is closed once nothing has been received for this time.
    pub linger_quiet: Duration,
}

impl Default for Http1Limits {
    fn default() -> Http1Limits {
        let event_bytes = 64 << 10;
        Http1Limits {
            head_bytes: 16 << 10,
            headers: 64,
            body_bytes: 256 << 10,
            event_bytes,
            line_bytes: 256,
            buffered_chunk_bytes: event_bytes,
            read_bytes: 16 << 10,
            socket_buffer: 64 << 10,
            connect_timeout: Duration::from_millis(150),
            // Short enough that a stream ended by a shutdown is closed before the process is killed.
            linger_quiet: Duration::from_millis(100),
        }
    }
}
