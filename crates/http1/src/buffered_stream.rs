//! A non-blocking connection with a read buffer.

use std::cell::RefCell;
use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::Http1Limits;

/// `EINPROGRESS` on Linux: a non-blocking connect is in progress.
const EINPROGRESS: i32 = 115;

thread_local! {
    /// Read buffer shared by all connections of a thread, so that no connection reserves memory for bytes that have not
    /// arrived.
    static READ_SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A connection with a read buffer.
pub struct BufferedStream {
    stream: Async<TcpStream>,
    /// Bytes that have been read but not consumed.
    pub buf: Vec<u8>,
    /// Whether the next read waits for readiness first, since the last one emptied the receive buffer of the kernel.
    waits_until_readable: bool,
    /// Whether the next write waits for readiness first, since the last one filled the send buffer of the kernel.
    waits_until_writable: bool,
    /// Whether received bytes were dropped. Only the content of `buf` may still be consumed then.
    pub is_truncated: bool,
    /// Whether dropping the stream resets the connection (RST). A peer that only writes, and whose last bytes the
    /// kernel has dropped, would notice a regular close only when it retransmits them, 200 ms later.
    pub reset_on_drop: bool,
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.reset_on_drop {
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Limits the socket buffers of a connection. Without a limit, the kernel may allocate megabytes for a connection,
/// which no memory budget of this process includes. Call this before the connection is established, since a receive
/// window that has been advertised is not reduced. Errors are ignored: the connection works without the limit.
pub fn limit_socket_buffers(socket: &SockRef<'_>, limits: &Http1Limits) {
    let _ = socket.set_recv_buffer_size(limits.socket_buffer);
    let _ = socket.set_send_buffer_size(limits.socket_buffer);
}

async fn connect_socket(addr: SocketAddr, limits: &Http1Limits) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    limit_socket_buffers(&SockRef::from(&socket), limits);
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != io::ErrorKind::WouldBlock => {
            return Err(e);
        }
        _ => {}
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(e) => Err(e),
        None => Ok(stream),
    }
}

impl BufferedStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> BufferedStream {
        let _ = stream.get_ref().set_nodelay(true);
        BufferedStream {
            stream,
            buf: Vec::new(),
            waits_until_readable: false,
            waits_until_writable: false,
            is_truncated: false,
            reset_on_drop: false,
        }
    }

    /// Wraps a connection taken over from another process of this gateway, with the content of its read buffer.
    ///
    /// # Errors
    /// The error of the operating system if the descriptor cannot be registered with the reactor.
    pub fn from_handover(descriptor: OwnedFd, buf: Vec<u8>) -> io::Result<BufferedStream> {
        let mut stream = BufferedStream::new(Async::new(TcpStream::from(descriptor))?);
        stream.buf = buf;
        Ok(stream)
    }

    /// Connects within [`Http1Limits::connect_timeout`].
    ///
    /// # Errors
    /// The error of the operating system, or `TimedOut`.
    pub async fn connect(addr: SocketAddr, limits: &Http1Limits) -> io::Result<BufferedStream> {
        Ok(BufferedStream::new(within(limits.connect_timeout, connect_socket(addr, limits)).await??))
    }

    /// Waits for bytes and appends them to `buf`. Returns their number; 0 means that the peer has closed its sending
    /// side. Dropping the future loses no bytes.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn fill(&mut self, limits: &Http1Limits) -> io::Result<usize> {
        future::poll_fn(|cx| self.poll_fill(cx, limits)).await
    }

    /// The poll function of [`BufferedStream::fill`].
    pub fn poll_fill(&mut self, cx: &mut Context<'_>, limits: &Http1Limits) -> Poll<io::Result<usize>> {
        loop {
            if self.waits_until_readable {
                ready!(self.stream.poll_readable(cx))?;
                self.waits_until_readable = false;
            }
            let read = READ_SCRATCH.with_borrow_mut(|scratch| {
                scratch.resize(limits.read_bytes, 0);
                let count = self.stream.get_ref().read(scratch)?;
                self.buf.extend_from_slice(&scratch[..count]);
                Ok::<_, io::Error>(count)
            });
            match read {
                Ok(count) => {
                    // After a short read the receive buffer is empty: another read would only return `WouldBlock`.
                    self.waits_until_readable = count > 0 && count < limits.read_bytes;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.waits_until_readable = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Reads more bytes that may be consumed. Returns whether there were any.
    pub async fn read_more(&mut self, limits: &Http1Limits) -> bool {
        !self.is_truncated && self.fill(limits).await.is_ok_and(|n| n > 0)
    }

    /// Makes the next read call the kernel without waiting for readiness.
    pub fn recheck_readiness(&mut self) {
        self.waits_until_readable = false;
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = future::poll_fn(|cx| self.poll_write(cx, bytes)).await?;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Writes all bytes of two slices in order, without concatenating them first.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn write_both(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() {
            let count = future::poll_fn(|cx| self.poll_write_both(cx, first, second)).await?;
            let written_of_first = count.min(first.len());
            first = &first[written_of_first..];
            second = &second[count - written_of_first..];
        }
        self.write(second).await
    }

    /// Writes some of the bytes once the connection is writable.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, bytes.len(), |mut stream| stream.write(bytes))
    }

    /// Writes some bytes of two slices, in order, once the connection is writable.
    pub fn poll_write_both(
        &mut self,
        cx: &mut Context<'_>,
        first: &[u8],
        second: &[u8],
    ) -> Poll<io::Result<usize>> {
        let slices = [IoSlice::new(first), IoSlice::new(second)];
        self.poll_write_with(cx, first.len() + second.len(), |mut stream| stream.write_vectored(&slices))
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.waits_until_writable {
                ready!(self.stream.poll_writable(cx))?;
                self.waits_until_writable = false;
            }
            match write(self.stream.get_ref()) {
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    self.waits_until_writable = count < length;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.waits_until_writable = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// The address of the peer.
    ///
    /// # Errors
    /// The error of the operating system, for example when the connection has been reset.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.get_ref().peer_addr()
    }

    /// The file descriptor of the connection, for a handover.
    #[must_use]
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.get_ref().as_fd()
    }

    /// Writes as many bytes as the connection accepts without waiting, before it is closed. Errors are ignored.
    pub fn write_now(&self, bytes: &[u8]) {
        let _ = self.stream.get_ref().write(bytes);
    }

    /// Closes the sending side and discards received bytes until the peer closes its sending side, nothing has been
    /// received for [`Http1Limits::linger_quiet`], or the time limit is reached.
    ///
    /// # Errors
    /// The error of the operating system, or `TimedOut`.
    pub async fn linger(&mut self, time_limit: Duration, limits: &Http1Limits) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        self.buf = Vec::new();
        let discard_received = async {
            while within(limits.linger_quiet, self.fill(limits)).await?? > 0 {
                self.buf.clear();
            }
            Ok(())
        };
        within(time_limit, discard_received).await?
    }

    /// Whether the connection is open and has no unread bytes, neither in the buffer nor in the socket.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.buf.is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Awaits a future with a time limit.
///
/// # Errors
/// `TimedOut` if the future does not complete within the limit.
pub async fn within<T>(time_limit: Duration, future: impl Future<Output = T>) -> io::Result<T> {
    let timeout = async {
        Timer::after(time_limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(async { Ok(future.await) }, timeout).await
}
