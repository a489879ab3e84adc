//! A replica's response: a complete error response, or a success whose body is still being read.

use std::io;
use std::rc::Rc;

use snafu::Snafu;
use tulipridge_http1::codec::{self, Body, Head, ParseError};

use crate::replica::connection::Connection;
use crate::replica::connection_state::ConnectionState;
use crate::replica::pool::ConnectionPool;
use crate::replica::replicas::ReplicaEntry;

/// Interim (1xx) responses that are skipped before the final response.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Maximum length of the body of an error response or a skipped response.
const MAX_ERROR_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The lowest status of a final response; 1xx responses are interim.
const FIRST_FINAL_STATUS: u16 = 200;

/// A complete error response.
#[derive(Debug)]
pub struct ErrorResponse {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a response that had begun was not received to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The replica closed the connection before the end that the framing of the body states.
    #[snafu(display("the connection was closed before the end of the body"))]
    ConnectionClosed,
    /// The replica closed the connection, whose end delimits the body, within an event of a stream.
    #[snafu(display("the connection was closed within an event"))]
    ClosedWithinEvent,
    /// The connection was reset, or failed otherwise.
    #[snafu(display("the connection failed: {kind}"))]
    ConnectionFailed {
        /// The kind of the operating system's error.
        kind: io::ErrorKind,
    },
    /// The bytes do not follow the framing of the body.
    #[snafu(display("the framing of the body is invalid: {error}"))]
    InvalidFraming {
        /// What is invalid.
        error: ParseError,
    },
    /// The time limit of the response passed before its end.
    #[snafu(display("the time limit of the response has passed"))]
    TimedOut,
}

/// A success whose body is being read.
pub struct UpstreamResponse {
    /// The replica that sent the response.
    pub replica: Rc<ReplicaEntry>,
    /// The connection from which the rest of the body is read.
    pub connection: Connection,
    /// The head.
    pub head: Head,
    /// The framing of the body, as stated by the head.
    pub framing: Body,
    /// The framing of the part of the body that is not yet decoded.
    remaining: Body,
    /// Bytes of the body that were decoded and not yet forwarded.
    pub buffered: Vec<u8>,
    /// Whether the body was read to its end.
    pub is_complete: bool,
}

impl UpstreamResponse {
    /// A response whose head was read and whose body was not.
    #[must_use]
    pub fn new(
        replica: Rc<ReplicaEntry>,
        connection: Connection,
        head: Head,
        framing: Body,
    ) -> UpstreamResponse {
        UpstreamResponse {
            replica,
            connection,
            head,
            framing,
            remaining: framing,
            buffered: Vec::new(),
            is_complete: false,
        }
    }

    /// Reads bytes from the replica and decodes them.
    ///
    /// # Errors
    /// If the connection ends early or fails, or if the body is malformed.
    pub async fn read(&mut self, pool: &ConnectionPool) -> Result<(), BodyError> {
        let read = self.connection.fill(pool.limits()).await;
        self.handle_read(read, pool)
    }

    /// Handles the result of a read: decodes the bytes, or detects the end of the body.
    ///
    /// # Errors
    /// If the connection ended early or failed, or if the body is malformed.
    pub fn handle_read(&mut self, read: io::Result<usize>, pool: &ConnectionPool) -> Result<(), BodyError> {
        match read {
            Ok(0) if self.remaining == Body::UntilClose => {
                self.is_complete = true;
                Ok(())
            }
            Ok(0) => Err(BodyError::ConnectionClosed),
            Ok(_) => self.decode(pool),
            Err(error) => Err(BodyError::ConnectionFailed { kind: error.kind() }),
        }
    }

    /// Decodes the bytes that the connection has buffered.
    ///
    /// # Errors
    /// If the body is malformed.
    pub fn decode(&mut self, pool: &ConnectionPool) -> Result<(), BodyError> {
        let decoded =
            self.remaining.take(&mut self.connection.stream.buf, &mut self.buffered, pool.limits());
        self.is_complete = decoded.map_err(|error| BodyError::InvalidFraming { error })?;
        Ok(())
    }

    /// Returns the connection to the pool after a complete response.
    pub fn finish(mut self, pool: &ConnectionPool) {
        if self.framing == Body::UntilClose {
            self.connection.forbid_reuse(ConnectionState::DelimitedByClose);
        }
        pool.check_in(&self.replica.id, self.connection, &self.head);
    }
}

/// Why the head of a response could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The connection ended before the first byte of the head.
    Missing,
    /// The connection ended within the head.
    Incomplete,
    /// The bytes are not a valid head of a response, or there were too many interim responses.
    Invalid,
}

/// Reads the head of the next final response and skips interim ones.
///
/// # Errors
/// If the connection ends before the end of the head, if the head is malformed, or after too many interim responses.
pub async fn read_head(connection: &mut Connection, pool: &ConnectionPool) -> Result<Head, HeadError> {
    let mut interim = 0;
    loop {
        match codec::response_head(&mut connection.stream.buf, pool.limits()) {
            Ok(Some(head)) if head.status() >= FIRST_FINAL_STATUS => return Ok(head),
            Ok(Some(_)) if interim < MAX_INTERIM_RESPONSES => interim += 1,
            Ok(Some(_)) | Err(_) => return Err(HeadError::Invalid),
            Ok(None) => {
                if !matches!(connection.fill(pool.limits()).await, Ok(1..)) {
                    let is_empty = connection.stream.buf.is_empty();
                    return Err(if is_empty { HeadError::Missing } else { HeadError::Incomplete });
                }
            }
        }
    }
}

/// Reads the body of an error response or a skipped response to its end. None if its framing is invalid or delimited by
/// the end of the connection, if the connection fails, or if the body is too long.
pub async fn read_body(
    pool: &ConnectionPool,
    connection: &mut Connection,
    framing: Option<Body>,
) -> Option<Vec<u8>> {
    let mut framing = framing.filter(|framing| *framing != Body::UntilClose)?;
    let mut bytes = Vec::new();
    while !framing.take(&mut connection.stream.buf, &mut bytes, pool.limits()).ok()? {
        let read = connection.fill(pool.limits()).await.ok()?;
        if read == 0 || bytes.len() > MAX_ERROR_BODY_BYTES {
            return None;
        }
    }
    Some(bytes)
}
