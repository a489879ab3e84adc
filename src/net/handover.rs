//! The line between this process and the one that follows it, where the platform keeps the listener of both.
//!
//! Both see one folder. The one that serves listens there on a Unix socket, whose name says the form of what goes over
//! it; a newcomer connects before it accepts anything. Over that line the older one says what it holds, and when it
//! stops it writes each stream that would outlast it there, as one message with the connections of both its sides.
//! Where nobody listens, or in another form, each is alone and streams stay where they are.

use std::fs;
use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::edge::Edge;
use super::followers::Followers;
use super::handover_message::{FORMAT_VERSION, StreamSnapshot};
use super::lifecycle_monitor::LifecycleMonitor;
use super::within;
use crate::limits::Limits;
use crate::process::background::run_in_background;
use crate::process::overlap::{Overlap, Report};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType, accept_with, bind, connect, listen, recvmsg, send,
    socket_with,
};

/// Where this gateway's processes meet, and the lines to those that follow.
pub struct Handover {
    /// None where there is never another process.
    path: Option<PathBuf>,
    limits: Rc<Limits>,
    followers: Rc<Followers>,
}

impl Handover {
    /// For the gateway of that name, in that folder.
    #[must_use]
    pub fn new(folder: &Path, name: &str, streams: bool, limits: Rc<Limits>) -> Handover {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let name: String = name.chars().map(plain).collect();
        let path = Some(folder.join(format!("tulipridge-{name}.{FORMAT_VERSION}")));
        Handover { path, limits: limits.clone(), followers: Rc::new(Followers::new(streams, limits)) }
    }

    /// For a process beside which there is never another.
    #[must_use]
    pub fn never(limits: Rc<Limits>) -> Handover {
        Handover { path: None, limits: limits.clone(), followers: Rc::new(Followers::new(false, limits)) }
    }

    /// The newer processes that streams may go to.
    #[must_use]
    pub fn followers(&self) -> Rc<Followers> {
        self.followers.clone()
    }

    /// Joins the older process, if there is one: from then on it is known what that one holds.
    pub fn join(&self, ex: &'static LocalExecutor<'static>, edge: &Rc<Edge>) {
        let Some(path) = &self.path else { return };
        let line = socket().and_then(|line| {
            connect(&line, &SocketAddrUnix::new(path)?)?;
            Async::new(line)
        });
        match line {
            Ok(line) => {
                // Until it says what it holds, its half is reckoned with.
                edge.overlap(|overlap| overlap.older_reported(Report::default()));
                ex.spawn(follow(ex, line, edge.clone(), self.limits.clone())).detach();
            }
            Err(e) => log::debug!(path:? = path; "alone: no older process: {e}"),
        }
    }

    /// Takes newcomers for as long as this process takes clients.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        edge: Rc<Edge>,
        lifecycle: Rc<LifecycleMonitor>,
    ) {
        let Some(path) = &self.path else { return };
        if !lifecycle.accepting().await {
            return;
        }
        let at = path.clone();
        // Names in a folder are a disk's matter.
        let listener = match run_in_background(move || bind_over(&at)).await {
            Ok(Ok(listener)) => listener,
            Ok(Err(e)) | Err(e) => {
                log::warn!(path:? = path; "handover-off: a process that follows is not known: {e}");
                return;
            }
        };
        let accepting = async {
            loop {
                match accept_with(listener.get_ref(), SocketFlags::CLOEXEC).map(Async::new) {
                    Ok(Ok(line)) => ex.spawn(self.clone().accompany(Rc::new(line), edge.clone())).detach(),
                    Ok(Err(e)) => log::warn!("handover-accept-failed: {e}"),
                    Err(e) if e == rustix::io::Errno::AGAIN => drop(listener.readable().await),
                    Err(e) => {
                        log::warn!("handover-accept-failed: {e}");
                        Timer::after(self.limits.edge.accept_pause).await;
                    }
                }
            }
        };
        // The file stays: it may be the newcomer's by now, and where nobody listens it does no harm.
        future::or(accepting, lifecycle.closed()).await;
    }

    /// Tells a newer process what is held here, until it is gone.
    async fn accompany(self: Rc<Self>, line: Rc<Async<OwnedFd>>, edge: Rc<Edge>) {
        log::info!("newcomer: a newer process is up; it gets half of the places");
        edge.overlap(Overlap::newer_came);
        self.followers.add(line.clone());
        let mut said = None;
        loop {
            let report = edge.report();
            if said != Some(report) {
                let encoded = serde_json::to_vec(&report).unwrap_or_default();
                if send(line.get_ref(), &encoded, SendFlags::NOSIGNAL | SendFlags::DONTWAIT).is_ok() {
                    said = Some(report);
                }
            }
            // It says nothing: what can be read is its end.
            if within(self.limits.lifecycle.report_interval, line.readable()).await.is_ok() {
                break;
            }
        }
        self.followers.remove(&line);
        edge.overlap(Overlap::newer_left);
        log::info!("newcomer-left: this process has all places again");
    }
}

/// Listens at a path, which is taken over at once from one that still listens or from one that was killed.
fn bind_over(path: &Path) -> io::Result<Async<OwnedFd>> {
    let own = path.with_extension(std::process::id().to_string());
    let _ = fs::remove_file(&own);
    let socket = socket()?;
    bind(&socket, &SocketAddrUnix::new(&own)?)?;
    listen(&socket, 16)?;
    fs::rename(&own, path)?;
    Async::new(socket)
}

/// A socket that keeps messages apart.
fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Hears the older process to its end: what it holds, and the streams that it hands over.
async fn follow(
    ex: &'static LocalExecutor<'static>,
    line: Async<OwnedFd>,
    edge: Rc<Edge>,
    limits: Rc<Limits>,
) {
    let mut taken = 0;
    loop {
        match message(line.get_ref(), &limits) {
            Ok(Message::End) => break,
            Ok(Message::Holds(report)) => edge.overlap(|overlap| overlap.older_reported(report)),
            Ok(Message::Stream(snapshot, sides)) => {
                let id = snapshot.id;
                match edge.clone().adopt(ex, *snapshot, sides) {
                    Ok(()) => taken += 1,
                    Err(e) => log::warn!(id = format!("{id:016x}"); "handover-failed: {e}"),
                }
                future::yield_now().await;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => drop(line.readable().await),
            Err(e) => {
                log::warn!("handover-failed: what came is no message: {e}");
                break;
            }
        }
    }
    edge.overlap(Overlap::older_left);
    log::info!(streams = taken; "handover: the older process is gone; so many of its streams went on here");
}

/// What an older process says.
enum Message {
    Holds(Report),
    Stream(Box<StreamSnapshot>, [OwnedFd; 2]),
    End,
}

/// The next message.
fn message(line: &OwnedFd, limits: &Limits) -> io::Result<Message> {
    let mut bytes = vec![0; limits.lifecycle.handover_bytes];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut rights = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
    let came = recvmsg(line, &mut [IoSliceMut::new(&mut bytes)], &mut rights, flags)?;
    let sides = rights.drain().flat_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sides) => sides.collect(),
        _ => Vec::new(),
    });
    let sides: Vec<OwnedFd> = sides.collect();
    if came.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) {
        return Err(io::Error::other("a message that is too long"));
    }
    let bytes = &bytes[..came.bytes];
    match sides.len() {
        0 if bytes.is_empty() => Ok(Message::End),
        0 => Ok(Message::Holds(serde_json::from_slice(bytes)?)),
        _ => {
            let sides = sides.try_into().map_err(|_| io::Error::other("not two connections"))?;
            Ok(Message::Stream(Box::new(StreamSnapshot::read(bytes)?), sides))
        }
    }
}
