//! The limits of connections and parsers.

use std::time::Duration;

/// The resources that a connection may use, and its timeouts. Nothing else in this package states a limit.
#[derive(Clone, Debug)]
pub struct Http1Limits {
    /// Bytes of a message's head.
    pub head_bytes: usize,
    /// Header lines of a message.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of one event of a stream, of its framing lines, and of a refusal's body that is read to its end.
    pub event_bytes: usize,
    /// Bytes of a line that frames a chunk.
    pub line_bytes: usize,
    /// Longest chunk that is buffered until it is complete; the data of a longer one are forwarded as they come.
    pub chunk_hold: usize,
    /// Bytes read from a socket at once.
    pub read_bytes: usize,
    /// The size requested for each socket buffer in the kernel, which may use twice as much.
    pub socket_buffer: usize,
    /// Longest time for a connection to be established.
    pub connect_timeout: Duration,
    /// A connection that has sent its last response is closed once nothing has been received for this time.
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
            chunk_hold: event_bytes,
            read_bytes: 16 << 10,
            socket_buffer: 64 << 10,
            connect_timeout: Duration::from_millis(150),
            // A stream that is ended by a shutdown still closes before the process is killed.
            linger_quiet: Duration::from_millis(100),
        }
    }
}
