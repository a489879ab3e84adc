//! A replica's response: a complete error, or a success whose body is still being read.

use std::io;
use std::rc::Rc;

use tulipridge_http1::codec::{self, Body, Head};

use crate::replica::connection::Connection;
use crate::replica::connection_state::ConnectionState;
use crate::replica::pool::ConnectionPool;
use crate::replica::replicas::ReplicaEntry;

/// Interim (1xx) responses that are skipped before one response.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Longest body of an error response that is read.
const MAX_ERROR_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Status of the first response that is no interim response.
const FIRST_FINAL_STATUS: u16 = 200;

/// A complete response that is no success.
#[derive(Debug)]
pub struct ErrorResponse {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

/// A success that is being read: its head, and the first bytes of its body or its end.
pub struct UpstreamResponse {
    /// The replica.
    pub replica: Rc<ReplicaEntry>,
    /// The connection that the rest of the body comes from.
    pub connection: Connection,
    /// The head.
    pub head: Head,
    /// How the body is framed, as the head says.
    pub framing: Body,
    /// The framing of what is still to come of the body.
    remaining: Body,
    /// Bytes of the body that were read and not yet forwarded.
    pub buffered: Vec<u8>,
    /// The end of the body was read.
    pub is_complete: bool,
}

impl UpstreamResponse {
    /// A response of whose body nothing was read yet.
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

    /// Waits for bytes from the replica and decodes them.
    ///
    /// # Errors
    /// If the connection ends early or fails, or if the body is malformed.
    pub async fn read(&mut self, pool: &ConnectionPool) -> io::Result<()> {
        let read = self.connection.fill(pool.limits()).await;
        self.handle_read(read, pool)
    }

    /// Decodes what a read of the connection gave.
    ///
    /// # Errors
    /// If the connection ended early or failed, or if the body is malformed.
    pub fn handle_read(&mut self, read: io::Result<usize>, pool: &ConnectionPool) -> io::Result<()> {
        match read {
            Ok(0) if self.remaining == Body::UntilClose => {
                self.is_complete = true;
                Ok(())
            }
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => self.decode(pool),
            Err(error) => Err(error),
        }
    }

    /// Decodes the bytes that the connection has buffered.
    ///
    /// # Errors
    /// If the body is malformed.
    pub fn decode(&mut self, pool: &ConnectionPool) -> io::Result<()> {
        let decoded =
            self.remaining.take(&mut self.connection.stream.buf, &mut self.buffered, pool.limits());
        self.is_complete = decoded.map_err(|error| io::Error::other(error.message()))?;
        Ok(())
    }

    /// Returns the connection of a complete response to the pool.
    pub fn finish(mut self, pool: &ConnectionPool) {
        if self.framing == Body::UntilClose {
            self.connection.forbid_reuse(ConnectionState::DelimitedByClose);
        }
        pool.check_in(&self.replica.id, self.connection, &self.head);
    }
}

/// Why the head of a response can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The connection ended without a byte of it.
    Missing,
    /// The connection ended within the head.
    Incomplete,
    /// The bytes are no head of a response.
    Invalid,
}

/// Reads the head of the next response and skips interim ones.
///
/// # Errors
/// If the connection ends before the end of the head, or if its bytes are none.
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

/// Reads a body to its end. None if its framing is unknown, only the connection's end would end it, it breaks off, or
/// it is too long.
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
