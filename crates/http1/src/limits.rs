//! The sizes, counts and times that a connection and the parsers keep to.

use std::time::Duration;

/// What a connection may use and how long it waits. Nothing else in this package states a bound.
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
    /// Bytes of a chunk that are held back until the chunk is whole; of a longer one whole events pass on as
    /// they come.
    pub chunk_hold: usize,
    /// Bytes read from a socket at once.
    pub read_bytes: usize,
    /// The size asked for of each buffer that the system has for a connection; it may take twice as much.
    pub socket_buffer: usize,
    /// Time for a connection to come up.
    pub connect_timeout: Duration,
    /// A connection that has had its last answer is closed for good once nothing more has come for this time.
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
            // A stream that the stop cuts still ends before the process is killed.
            linger_quiet: Duration::from_millis(100),
        }
    }
}
