//! Handover between this process and its successor, where the platform keeps the listener for both.
//!
//! Both use the same folder. The serving process listens there on a Unix socket, whose name contains the version of the
//! message format; a newer process connects before it accepts anything. The older process reports its open connections
//! over that socket. When it stops, it sends each stream that would outlast it there, as one message together with the
//! connections to the stream's client and replica. If nobody listens, or only with another format version, the processes
//! run independently and streams stay where they are.

use std::fs;
use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::edge::EdgeServer;
use super::handover_message::{FORMAT_VERSION, StreamSnapshot};
use super::lifecycle_monitor::LifecycleMonitor;
use super::successors::Successors;
use super::within;
use crate::limits::Limits;
use crate::process::background::run_in_background;
use crate::process::overlap::{ConnectionReport, ProcessLimits};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType, accept_with, bind, connect, listen, recvmsg, send,
    socket_with,
};

/// The socket at which this gateway's processes meet, and the connections to newer processes.
pub struct Handover {
    /// None if there is never another process.
    path: Option<PathBuf>,
    limits: Rc<Limits>,
    successors: Rc<Successors>,
}

impl Handover {
    /// Creates the handover of the gateway `name`, with its socket in `folder`; `streams` allows streams to be handed
    /// over.
    #[must_use]
    pub fn new(folder: &Path, name: &str, streams: bool, limits: Rc<Limits>) -> Handover {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let name: String = name.chars().map(plain).collect();
        let path = Some(folder.join(format!("tulipridge-{name}.{FORMAT_VERSION}")));
        Handover { path, limits: limits.clone(), successors: Rc::new(Successors::new(streams, limits)) }
    }

    /// Creates a handover that does nothing, for a process that never runs beside another one.
    #[must_use]
    pub fn disabled(limits: Rc<Limits>) -> Handover {
        Handover { path: None, limits: limits.clone(), successors: Rc::new(Successors::new(false, limits)) }
    }

    /// The newer processes, to which streams may be handed over.
    #[must_use]
    pub fn successors(&self) -> Rc<Successors> {
        self.successors.clone()
    }

    /// Connects to the older process, if there is one, to receive its reports and streams.
    pub fn connect_to_older_process(&self, ex: &'static LocalExecutor<'static>, edge: &Rc<EdgeServer>) {
        let Some(path) = &self.path else { return };
        let socket = socket().and_then(|socket| {
            connect(&socket, &SocketAddrUnix::new(path)?)?;
            Async::new(socket)
        });
        match socket {
            Ok(socket) => {
                // Until its first report, the older process is assumed to use its half.
                edge.update_process_limits(|limits| limits.older_reported(ConnectionReport::default()));
                ex.spawn(receive_from_older(ex, socket, edge.clone(), self.limits.clone())).detach();
            }
            Err(e) => log::debug!(path:? = path; "alone: no older process is running: {e}"),
        }
    }

    /// Accepts connections of newer processes for as long as this process accepts clients.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        edge: Rc<EdgeServer>,
        lifecycle: Rc<LifecycleMonitor>,
    ) {
        let Some(path) = &self.path else { return };
        if !lifecycle.accepting().await {
            return;
        }
        let at = path.clone();
        // Binding and renaming access the disk.
        let listener = match run_in_background(move || bind_over(&at)).await {
            Ok(Ok(listener)) => listener,
            Ok(Err(e)) | Err(e) => {
                log::warn!(path:? = path; "handover-off: newer processes can't connect: {e}");
                return;
            }
        };
        let accepting = async {
            loop {
                match accept_with(listener.get_ref(), SocketFlags::CLOEXEC).map(Async::new) {
                    Ok(Ok(socket)) => {
                        ex.spawn(self.clone().serve_newer(Rc::new(socket), edge.clone())).detach();
                    }
                    Ok(Err(e)) => log::warn!("handover-accept-failed: {e}"),
                    Err(e) if e == rustix::io::Errno::AGAIN => drop(listener.readable().await),
                    Err(e) => {
                        log::warn!("handover-accept-failed: {e}");
                        Timer::after(self.limits.edge.accept_pause).await;
                    }
                }
            }
        };
        // The file is not removed: it may be the newer process's by now, and without a listener it is harmless.
        future::or(accepting, lifecycle.closed()).await;
    }

    /// Sends reports to a newer process until that process ends.
    async fn serve_newer(self: Rc<Self>, socket: Rc<Async<OwnedFd>>, edge: Rc<EdgeServer>) {
        log::info!("newcomer: a newer process started; it gets half of the connections");
        edge.update_process_limits(ProcessLimits::newer_started);
        self.successors.add(socket.clone());
        let mut last_report = None;
        loop {
            let report = edge.report();
            if last_report != Some(report) {
                let encoded = serde_json::to_vec(&report).unwrap_or_default();
                if send(socket.get_ref(), &encoded, SendFlags::NOSIGNAL | SendFlags::DONTWAIT).is_ok() {
                    last_report = Some(report);
                }
            }
            // A newer process sends nothing, so a readable socket means that it ended.
            if within(self.limits.lifecycle.report_interval, socket.readable()).await.is_ok() {
                break;
            }
        }
        self.successors.remove(&socket);
        edge.update_process_limits(ProcessLimits::newer_exited);
        log::info!("newcomer-left: the newer process ended; this process may use its share again");
    }
}

/// Listens at a path. The rename replaces the socket of a process that still listens or was killed, without a gap.
fn bind_over(path: &Path) -> io::Result<Async<OwnedFd>> {
    let temporary = path.with_extension(std::process::id().to_string());
    let _ = fs::remove_file(&temporary);
    let socket = socket()?;
    bind(&socket, &SocketAddrUnix::new(&temporary)?)?;
    listen(&socket, 16)?;
    fs::rename(&temporary, path)?;
    Async::new(socket)
}

/// Creates a socket that preserves message boundaries.
fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Receives the reports and the streams of the older process until it ends.
async fn receive_from_older(
    ex: &'static LocalExecutor<'static>,
    socket: Async<OwnedFd>,
    edge: Rc<EdgeServer>,
    limits: Rc<Limits>,
) {
    let mut resumed = 0;
    loop {
        match receive_message(socket.get_ref(), &limits) {
            Ok(Message::End) => break,
            Ok(Message::Report(report)) => {
                edge.update_process_limits(|limits| limits.older_reported(report));
            }
            Ok(Message::Stream(snapshot, connections)) => {
                let id = snapshot.id;
                match edge.clone().resume_handed_over(ex, *snapshot, connections) {
                    Ok(()) => resumed += 1,
                    Err(e) => log::warn!(id = format!("{id:016x}"); "handover-failed: {e}"),
                }
                future::yield_now().await;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => drop(socket.readable().await),
            Err(e) => {
                log::warn!("handover-failed: receiving a message failed: {e}");
                break;
            }
        }
    }
    edge.update_process_limits(ProcessLimits::older_exited);
    log::info!(streams = resumed; "handover: the older process ended; its streams were resumed here");
}

/// A message from an older process.
enum Message {
    Report(ConnectionReport),
    Stream(Box<StreamSnapshot>, [OwnedFd; 2]),
    End,
}

/// Receives the next message.
fn receive_message(socket: &OwnedFd, limits: &Limits) -> io::Result<Message> {
    let mut bytes = vec![0; limits.lifecycle.handover_bytes];
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut rights = RecvAncillaryBuffer::new(&mut control_buffer);
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
    let received = recvmsg(socket, &mut [IoSliceMut::new(&mut bytes)], &mut rights, flags)?;
    let connections = rights.drain().flat_map(|message| match message {
        RecvAncillaryMessage::ScmRights(connections) => connections.collect(),
        _ => Vec::new(),
    });
    let connections: Vec<OwnedFd> = connections.collect();
    if received.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) {
        return Err(io::Error::other("the message is too long"));
    }
    let bytes = &bytes[..received.bytes];
    match connections.len() {
        0 if bytes.is_empty() => Ok(Message::End),
        0 => Ok(Message::Report(serde_json::from_slice(bytes)?)),
        _ => {
            let connections = connections
                .try_into()
                .map_err(|_| io::Error::other("the message does not have exactly two connections"))?;
            Ok(Message::Stream(Box::new(StreamSnapshot::read(bytes)?), connections))
        }
    }
}
