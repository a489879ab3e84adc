//! A connection that does not block, with what was read from it and not yet taken.

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

/// A connection is on its way, says Linux.
const IN_PROGRESS: i32 = 115;

thread_local! {
    /// Where reads go first: no connection keeps room for bytes that have not come.
    static SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A connection with what was read from it and not yet taken.
pub struct BufferedStream {
    stream: Async<TcpStream>,
    /// Bytes read and not yet taken.
    pub buf: Vec<u8>,
    /// There was nothing more to read; the system says when there is.
    dry: bool,
    /// No more could be written; the system says when it can.
    full: bool,
    /// Something that came was dropped: what is in `buf` is all that may still be taken.
    pub cut: bool,
    /// It is reset when it is dropped. Guards against a peer that only writes: where the system has dropped what
    /// came last, a plain close tells such a peer nothing before it sends that again, 200 ms later.
    pub abort: bool,
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.abort {
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Bounds what the system keeps for a connection. Guards against a peer for whom that is megabytes, which are in
/// no budget of ours. It must be told before the connection comes up: a window that was offered is not taken back.
/// A system that does not heed it is no reason to do without the connection.
pub fn bound_buffers(socket: &SockRef, limits: &Http1Limits) {
    let _ = socket.set_recv_buffer_size(limits.socket_buffer);
    let _ = socket.set_send_buffer_size(limits.socket_buffer);
}

async fn connected(addr: SocketAddr, limits: &Http1Limits) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    bound_buffers(&SockRef::from(&socket), limits);
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() != Some(IN_PROGRESS) && e.kind() != io::ErrorKind::WouldBlock => {
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
        BufferedStream { stream, buf: Vec::new(), dry: false, full: false, cut: false, abort: false }
    }

    /// A connection that another process of this gateway had, with what was read from it and not yet taken.
    pub fn handed(side: OwnedFd, buf: Vec<u8>) -> io::Result<BufferedStream> {
        let mut wire = BufferedStream::new(Async::new(TcpStream::from(side))?);
        wire.buf = buf;
        Ok(wire)
    }

    /// Connects within a time.
    pub async fn connect(addr: SocketAddr, limits: &Http1Limits) -> io::Result<BufferedStream> {
        Ok(BufferedStream::new(within(limits.connect_timeout, connected(addr, limits)).await??))
    }

    /// Reads what is there, or waits for some; 0 is the peer's end. Nothing is lost if it is dropped.
    pub async fn fill(&mut self, limits: &Http1Limits) -> io::Result<usize> {
        future::poll_fn(|cx| self.poll_fill(cx, limits)).await
    }

    /// The same as a poll.
    pub fn poll_fill(&mut self, cx: &mut Context<'_>, limits: &Http1Limits) -> Poll<io::Result<usize>> {
        loop {
            if self.dry {
                ready!(self.stream.poll_readable(cx))?;
                self.dry = false;
            }
            let read = SCRATCH.with_borrow_mut(|scratch| {
                scratch.resize(limits.read_bytes, 0);
                let count = self.stream.get_ref().read(scratch)?;
                self.buf.extend_from_slice(&scratch[..count]);
                Ok::<_, io::Error>(count)
            });
            match read {
                Ok(count) => {
                    // What was less than there was room for is all that there was: a further read would only
                    // say so.
                    self.dry = count > 0 && count < limits.read_bytes;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.dry = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Reads more of what may still be taken; whether there was any.
    pub async fn more(&mut self, limits: &Http1Limits) -> bool {
        !self.cut && self.fill(limits).await.is_ok_and(|n| n > 0)
    }

    /// Has the next read ask the system, whatever that has told of so far.
    pub fn recheck_readiness(&mut self) {
        self.dry = false;
    }

    /// Writes all of it.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = future::poll_fn(|cx| self.poll_write(cx, bytes)).await?;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// The same of two parts, one after the other and without putting them together first.
    pub async fn write_both(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() {
            let count = future::poll_fn(|cx| self.poll_write_both(cx, first, second)).await?;
            let of_first = count.min(first.len());
            first = &first[of_first..];
            second = &second[count - of_first..];
        }
        self.write(second).await
    }

    /// Writes some of it once the connection takes some.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, bytes.len(), |mut stream| stream.write(bytes))
    }

    /// Writes some of two parts, one after the other, once the connection takes some.
    pub fn poll_write_both(
        &mut self,
        cx: &mut Context<'_>,
        first: &[u8],
        second: &[u8],
    ) -> Poll<io::Result<usize>> {
        let parts = [IoSlice::new(first), IoSlice::new(second)];
        self.poll_write_by(cx, first.len() + second.len(), |mut stream| stream.write_vectored(&parts))
    }

    fn poll_write_by(
        &mut self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.full {
                ready!(self.stream.poll_writable(cx))?;
                self.full = false;
            }
            match write(self.stream.get_ref()) {
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    self.full = count < length;
                    return Poll::Ready(Ok(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.full = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Who is at its other end.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.get_ref().peer_addr()
    }

    /// The connection itself, to be handed on.
    #[must_use]
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.get_ref().as_fd()
    }

    /// Writes what the connection takes at once, on its way to being closed.
    pub fn write_now(&self, bytes: &[u8]) {
        let _ = self.stream.get_ref().write(bytes);
    }

    /// Ends the sending side and drops what still comes, up to the peer's end, its silence or the longest time.
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

    /// Nothing has come on a connection that should be silent: neither bytes nor its end.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        self.buf.is_empty() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// What a future gives within a time; else an error of the kind `TimedOut`.
pub async fn within<T>(time: Duration, future: impl Future<Output = T>) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(async { Ok(future.await) }, late).await
}
