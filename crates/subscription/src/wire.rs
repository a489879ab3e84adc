//! Buffers for the two directions of a connection: received bytes to messages, and messages to bytes.

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

/// Maximum number of bytes that one system call reads.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of reads in one poll, so that other tasks of the thread can run.
const MAX_READS_PER_POLL: usize = 16;
/// An empty buffer with more capacity than this is freed.
const MAX_IDLE_CAPACITY_BYTES: usize = 256 * 1024;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Bytes were added to the buffer.
    Bytes,
    /// The peer has closed its side.
    EndOfStream,
}

/// Received bytes that are not decoded yet.
#[derive(Debug, Default)]
pub(crate) struct ReceiveBuffer {
    buffer: Vec<u8>,
}

impl ReceiveBuffer {
    /// Reads the bytes that have arrived; pending while there are none.
    pub(crate) fn poll_read(
        &mut self,
        stream: &Async<TcpStream>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<Received>> {
        loop {
            ready!(stream.poll_readable(context))?;
            match self.read(stream.get_ref()) {
                Err(error) if is_retryable(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Decodes the next complete message; `None` while more bytes are needed.
    pub(crate) fn next_message<T: for<'de> Decode<'de, Binary, Global>>(
        &mut self,
    ) -> Result<Option<T>, FrameError> {
        let message = frame::take(&mut self.buffer)?;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.buffer = Vec::new();
        }
        Ok(message)
    }

    /// Returns the number of bytes that are not decoded yet.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    fn read(&mut self, mut stream: &TcpStream) -> io::Result<Received> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        for reads in 0..MAX_READS_PER_POLL {
            let count = match stream.read(&mut chunk) {
                Ok(0) if reads == 0 => return Ok(Received::EndOfStream),
                Ok(count) => count,
                Err(_) if reads > 0 => break,
                Err(error) => return Err(error),
            };
            self.buffer.extend_from_slice(&chunk[..count]);
            if count < READ_CHUNK_BYTES {
                break;
            }
        }
        Ok(Received::Bytes)
    }
}

/// Bytes to be sent.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    chunks: VecDeque<Rc<Vec<u8>>>,
    /// Number of bytes of the first chunk that are already sent.
    first_chunk_sent_bytes: usize,
}

impl SendQueue {
    /// Returns whether all bytes are sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Adds a chunk of complete frames; an empty chunk is ignored.
    pub(crate) fn push_frames(&mut self, chunk: Rc<Vec<u8>>) {
        if !chunk.is_empty() {
            self.chunks.push_back(chunk);
        }
    }

    /// Adds a message, to the last chunk if that is not shared with other connections.
    pub(crate) fn push_message<T: Encode<Binary>>(&mut self, message: &T) -> Result<(), FrameError> {
        if let Some(last) = self.chunks.back_mut().and_then(Rc::get_mut) {
            return frame::append(message, last);
        }
        let mut chunk = Vec::new();
        frame::append(message, &mut chunk)?;
        self.push_frames(Rc::new(chunk));
        Ok(())
    }

    /// Sends as many bytes as the connection accepts; ready once some were sent, pending while there are none to send.
    pub(crate) fn poll_send(
        &mut self,
        stream: &Async<TcpStream>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while !self.is_empty() {
            match self.send(stream.get_ref()) {
                Err(error) if is_retryable(&error) => ready!(stream.poll_writable(context))?,
                result => return Poll::Ready(result),
            }
        }
        Poll::Pending
    }

    fn send(&mut self, mut stream: &TcpStream) -> io::Result<()> {
        let Some(chunk) = self.chunks.front() else { return Ok(()) };
        let count = stream.write(&chunk[self.first_chunk_sent_bytes..])?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.first_chunk_sent_bytes += count;
        if self.first_chunk_sent_bytes == chunk.len() {
            self.first_chunk_sent_bytes = 0;
            self.chunks.pop_front();
        }
        Ok(())
    }
}

fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
