//! The two directions of a connection: bytes to messages, messages to bytes.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use async_io::Async;
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use tulipridge_protocol::frame::{self, FrameError};

/// Bytes that one call reads at most.
const CHUNK_BYTES: usize = 16 * 1024;
/// Calls that one poll makes at most, so that other tasks get their turn.
const MAX_READS: usize = 16;
/// An empty buffer over this size is given back.
const KEPT_BYTES: usize = 256 * 1024;

/// What one poll has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Bytes were added to the buffer.
    Bytes,
    /// The peer has closed its side.
    End,
}

/// Bytes that came in and are not yet taken as messages.
#[derive(Debug, Default)]
pub(crate) struct Incoming {
    buffer: Vec<u8>,
}

impl Incoming {
    /// Reads what is there.
    pub(crate) fn poll_fill(
        &mut self,
        stream: &Async<TcpStream>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<Received>> {
        loop {
            ready!(stream.poll_readable(context))?;
            match self.fill(stream.get_ref()) {
                Err(error) if is_retry(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// The next whole message.
    pub(crate) fn take<T: for<'de> Decode<'de, Binary, Global>>(
        &mut self,
    ) -> Result<Option<T>, FrameError> {
        let message = frame::take(&mut self.buffer)?;
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES {
            self.buffer = Vec::new();
        }
        Ok(message)
    }

    /// Bytes of a message that is not yet whole.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    fn fill(&mut self, mut stream: &TcpStream) -> io::Result<Received> {
        let mut chunk = [0; CHUNK_BYTES];
        for reads in 0..MAX_READS {
            let count = match stream.read(&mut chunk) {
                Ok(0) if reads == 0 => return Ok(Received::End),
                Ok(count) => count,
                Err(_) if reads > 0 => break,
                Err(error) => return Err(error),
            };
            self.buffer.extend_from_slice(&chunk[..count]);
            if count < CHUNK_BYTES {
                break;
            }
        }
        Ok(Received::Bytes)
    }
}

/// Bytes that wait to be written.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    parts: VecDeque<Rc<Vec<u8>>>,
    written: usize,
}

impl Outgoing {
    /// Whether all is written.
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Adds bytes that hold whole frames.
    pub(crate) fn push(&mut self, part: Rc<Vec<u8>>) {
        if !part.is_empty() {
            self.parts.push_back(part);
        }
    }

    /// Adds a message, to the last part where that is not shared.
    pub(crate) fn push_message<T: Encode<Binary>>(&mut self, message: &T) -> Result<(), FrameError> {
        if let Some(last) = self.parts.back_mut().and_then(Rc::get_mut) {
            return frame::append(message, last);
        }
        let mut part = Vec::new();
        frame::append(message, &mut part)?;
        self.push(Rc::new(part));
        Ok(())
    }

    /// Writes what the connection takes; ready once it took some. Pending also while there is nothing to write.
    pub(crate) fn poll_write(
        &mut self,
        stream: &Async<TcpStream>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while !self.is_empty() {
            match self.write(stream.get_ref()) {
                Err(error) if is_retry(&error) => ready!(stream.poll_writable(context))?,
                result => return Poll::Ready(result),
            }
        }
        Poll::Pending
    }

    fn write(&mut self, mut stream: &TcpStream) -> io::Result<()> {
        let Some(part) = self.parts.front() else { return Ok(()) };
        let count = stream.write(&part[self.written..])?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.written += count;
        if self.written == part.len() {
            self.written = 0;
            self.parts.pop_front();
        }
        Ok(())
    }
}

fn is_retry(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
