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

/// `EINPROGRESS` of Linux: a non-blocking connect has started.
const CONNECT_IN_PROGRESS: i32 = 115;

thread_local! {
    /// Where reads go first, so that no connection reserves memory for bytes that have not arrived.
    static SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A connection with a read buffer.
pub struct BufferedStream {
    stream: Async<TcpStream>,
    /// Bytes that were read and not yet consumed.
    pub buf: Vec<u8>,
    /// The last read found no more bytes: the next one waits for readiness first.
    awaits_readable: bool,
    /// The last write could not write more: the next one waits for readiness first.
    awaits_writable: bool,
    /// Bytes that arrived were dropped: what is in `buf` is all that may still be consumed.
    pub is_truncated: bool,
    /// Whether dropping the stream resets the connection (RST). Guards against a peer that only writes: where the kernel
    /// has dropped the last bytes, such a peer learns of a plain close only when it retransmits them, 200 ms later.
    pub reset_on_drop: bool,
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.reset_on_drop {
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Limits the socket buffers of a connection. Guards against a peer for whose connection the kernel would allocate
/// megabytes, which no budget of this process counts. It must be called before the connection is established, since a
/// window that was advertised is not withdrawn. Failures are ignored: the connection works without the limit.
pub fn limit_socket_buffers(socket: &SockRef<'_>, limits: &Http1Limits) {
    let _ = socket.set_recv_buffer_size(limits.socket_buffer);
    let _ = socket.set_send_buffer_size(limits.socket_buffer);
}

async fn establish(addr: SocketAddr, limits: &Http1Limits) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    limit_socket_buffers(&SockRef::from(&socket), limits);
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e)
            if e.raw_os_error() != Some(CONNECT_IN_PROGRESS) && e.kind() != io::ErrorKind::WouldBlock =>
        {
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
            awaits_readable: false,
            awaits_writable: false,
            is_truncated: false,
            reset_on_drop: false,
        }
    }

    /// A connection that another process of this gateway has handed over, with its read buffer.
    ///
    /// # Errors
    /// The error of the operating system if the descriptor can't be registered.
    pub fn handed(descriptor: OwnedFd, buf: Vec<u8>) -> io::Result<BufferedStream> {
        let mut stream = BufferedStream::new(Async::new(TcpStream::from(descriptor))?);
        stream.buf = buf;
        Ok(stream)
    }

    /// Connects within [`Http1Limits::connect_timeout`].
    ///
    /// # Errors
    /// The error of the operating system, or one of the kind `TimedOut`.
    pub async fn connect(addr: SocketAddr, limits: &Http1Limits) -> io::Result<BufferedStream> {
        Ok(BufferedStream::new(within(limits.connect_timeout, establish(addr, limits)).await??))
    }

    /// Reads into `buf` once there is something to read; 0 means that the peer has closed its side. Dropping the future
    /// loses no bytes.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn fill(&mut self, limits: &Http1Limits) -> io::Result<usize> {
        future::poll_fn(|cx| self.poll_fill(cx, limits)).await
    }

    /// The poll function of [`BufferedStream::fill`].
    pub fn poll_fill(&mut self, cx: &mut Context<'_>, limits: &Http1Limits) -> Poll<io::Result<usize>> {
        loop {
            if self.awaits_readable {
                ready!(self.stream.poll_readable(cx))?;
                self.awaits_readable = false;
            }
            let read = SCRATCH.with_borrow_mut(|scratch| {
                scratch.resize(limits.read_bytes, 0);
                let count = self.stream.get_ref().read(scratch)?;
                self.buf.extend_from_slice(&scratch[..count]);
                Ok::<_, io::Error>(count)
            });
            match read {
                Ok(count) => {
                    // A short read means that there was no more: a further read would only return WouldBlock.
                    self.awaits_readable = count > 0 && count < limits.read_bytes;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.awaits_readable = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Reads more bytes that may be consumed; whether there were any.
    pub async fn more(&mut self, limits: &Http1Limits) -> bool {
        !self.is_truncated && self.fill(limits).await.is_ok_and(|n| n > 0)
    }

    /// Makes the next read call the kernel without waiting for readiness.
    pub fn recheck_readiness(&mut self) {
        self.awaits_readable = false;
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

    /// Writes all bytes of two slices, one after the other and without concatenating them first.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn write_both(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() {
            let count = future::poll_fn(|cx| self.poll_write_both(cx, first, second)).await?;
            let of_first = count.min(first.len());
            first = &first[of_first..];
            second = &second[count - of_first..];
        }
        self.write(second).await
    }

    /// Writes some of the bytes once the connection accepts some.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, bytes.len(), |mut stream| stream.write(bytes))
    }

    /// Writes some bytes of two slices, one after the other, once the connection accepts some.
    pub fn poll_write_both(
        &mut self,
        cx: &mut Context<'_>,
        first: &[u8],
        second: &[u8],
    ) -> Poll<io::Result<usize>> {
        let slices = [IoSlice::new(first), IoSlice::new(second)];
        self.poll_write_by(cx, first.len() + second.len(), |mut stream| stream.write_vectored(&slices))
    }

    fn poll_write_by(
        &mut self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.awaits_writable {
                ready!(self.stream.poll_writable(cx))?;
                self.awaits_writable = false;
            }
            match write(self.stream.get_ref()) {
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    self.awaits_writable = count < length;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.awaits_writable = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// The remote address.
    ///
    /// # Errors
    /// The error of the operating system, as when the connection is reset.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.get_ref().peer_addr()
    }

    /// The descriptor of the connection, to be handed over.
    #[must_use]
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.get_ref().as_fd()
    }

    /// Writes what the connection accepts without waiting, before it is closed. Errors are ignored.
    pub fn write_now(&self, bytes: &[u8]) {
        let _ = self.stream.get_ref().write(bytes);
    }

    /// Closes the sending side and discards what is still received, until the peer closes its side, nothing has been
    /// received for [`Http1Limits::linger_quiet`], or the `longest` time is over.
    ///
    /// # Errors
    /// The error of the operating system, or one of the kind `TimedOut`.
    pub async fn linger(&mut self, longest: Duration, limits: &Http1Limits) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        self.buf = Vec::new();
        let drain = async {
            while within(limits.linger_quiet, self.fill(limits)).await?? > 0 {
                self.buf.clear();
            }
            Ok(())
        };
        within(longest, drain).await?
    }

    /// Whether nothing has been received on an idle connection: neither bytes nor its end.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.buf.is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The output of a future within a time.
///
/// # Errors
/// One of the kind `TimedOut` after it.
pub async fn within<T>(time: Duration, future: impl Future<Output = T>) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(async { Ok(future.await) }, late).await
}
