//! Begun streams on their way from one process of this gateway to the one that follows it.
//!
//! Both processes see one folder. The one that serves listens there on a Unix socket, whose name says the form of
//! what it takes; a process that stops writes each stream that would outlast it there, as one message with the
//! connections of both its sides. Where nobody listens, or in another form, the stream stays where it is.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType, accept_with, bind, connect,
    listen, recvmsg, sendmsg, socket_with,
};
use serde::{Deserialize, Serialize};

use super::edge::Edge;
use super::http::Body;
use super::keeper::Keeper;
use crate::front::Usage;
use crate::limits::Limits;
use crate::types::Nanos;

/// The form of parcels; one that changes gets another number, and processes of different forms hand nothing over.
const FORM: u32 = 1;
/// Lengths before a parcel's parts, four bytes each: of its description and of what waits at four places.
const LENGTHS: usize = 5 * 4;

/// A begun stream without its connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Parcel {
    /// Its request's id, as the module had it.
    pub id: u64,
    /// The same as its client knows it.
    pub name: String,
    /// Its class and its tenant, for the record.
    pub class: usize,
    /// See `class`.
    pub tenant: Option<usize>,
    /// How long its first event took.
    pub first: Nanos,
    /// The client's connection may carry another request after it.
    pub keep_client: bool,
    /// Its real server.
    pub server: String,
    /// Where that is.
    pub addr: Option<SocketAddr>,
    /// Where in the answer's body the next byte belongs.
    pub body: Option<Body>,
    /// The real server's connection may carry another request after it.
    pub keep_server: bool,
    /// Its last event has come.
    pub last: bool,
    /// Tokens that were told of so far.
    pub usage: Option<Usage>,
    /// What waits: for the client; of the client, read and not looked at; of the real server, likewise; and of the
    /// real server's events, what is no whole one yet.
    #[serde(skip)]
    pub waiting: [Vec<u8>; 4],
}

impl Parcel {
    /// Its bytes.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let told = serde_json::to_vec(self)?;
        let parts = [&told, &self.waiting[0], &self.waiting[1], &self.waiting[2], &self.waiting[3]];
        let mut bytes = Vec::new();
        for part in parts {
            let length = u32::try_from(part.len()).map_err(io::Error::other)?;
            bytes.extend_from_slice(&length.to_be_bytes());
        }
        parts.iter().for_each(|part| bytes.extend_from_slice(part));
        Ok(bytes)
    }

    /// Reads one; all of the bytes must be its.
    pub fn read(bytes: &[u8]) -> io::Result<Parcel> {
        let wrong = || io::Error::new(io::ErrorKind::InvalidData, "lengths that don't fit");
        let (lengths, mut rest) = bytes.split_at_checked(LENGTHS).ok_or_else(wrong)?;
        let mut parts = Vec::with_capacity(5);
        for length in lengths.chunks_exact(4) {
            let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
            let (part, after) = rest.split_at_checked(length).ok_or_else(wrong)?;
            parts.push(part);
            rest = after;
        }
        if !rest.is_empty() {
            return Err(wrong());
        }
        let mut parcel: Parcel = serde_json::from_slice(parts[0])?;
        for (place, part) in parcel.waiting.iter_mut().zip(&parts[1..]) {
            *place = part.to_vec();
        }
        Ok(parcel)
    }
}

/// Where this gateway's processes meet, and the way to the one that follows.
pub struct Handover {
    path: PathBuf,
    limits: Rc<Limits>,
    /// The file that this process listens at.
    own: Cell<Option<(u64, u64)>>,
    follower: RefCell<Option<OwnedFd>>,
}

impl Handover {
    /// For the gateway of that name, in that folder.
    pub fn new(folder: &Path, name: &str, limits: Rc<Limits>) -> Handover {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let name: String = name.chars().map(plain).collect();
        let path = folder.join(format!("tulipridge-{name}.{FORM}"));
        Handover { path, limits, own: Cell::new(None), follower: RefCell::new(None) }
    }

    /// Takes streams over for as long as this process takes clients; what a stopping one finds at the path from
    /// then on is another's.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        edge: Rc<Edge>,
        keeper: Rc<Keeper>,
    ) {
        if !keeper.accepting().await {
            return;
        }
        let listener = match self.bind() {
            Ok(listener) => listener,
            Err(e) => {
                log::warn!(path:? = self.path; "handover-off: streams that outlast this process are cut: {e}");
                return;
            }
        };
        let accepting = async {
            loop {
                match accept_with(listener.get_ref(), SocketFlags::CLOEXEC) {
                    Ok(line) => ex.spawn(receive(ex, line, edge.clone(), self.limits.clone())).detach(),
                    Err(e) if e == rustix::io::Errno::AGAIN => drop(listener.readable().await),
                    Err(e) => {
                        log::warn!("handover-accept-failed: {e}");
                        Timer::after(self.limits.accept_pause).await;
                    }
                }
            }
        };
        future::or(accepting, keeper.closed()).await;
        drop(listener);
        // Unless the one that follows is there already.
        if self.own.take().is_some_and(|own| file(&self.path).is_ok_and(|at| at == own)) {
            let _ = fs::remove_file(&self.path);
        }
    }

    fn bind(&self) -> io::Result<Async<OwnedFd>> {
        // Takes the path over at once, from one that still listens or from one that was killed.
        let own = self.path.with_extension(std::process::id().to_string());
        let _ = fs::remove_file(&own);
        let socket = socket()?;
        bind(&socket, &SocketAddrUnix::new(&own)?)?;
        listen(&socket, 16)?;
        self.own.set(Some(file(&own)?));
        fs::rename(&own, &self.path)?;
        Async::new(socket)
    }

    /// Hands a stream over with its client's and its real server's connection. An error says that it was not, and
    /// may be later.
    pub fn send(&self, parcel: &Parcel, sides: [BorrowedFd; 2]) -> io::Result<()> {
        if self.own.get().is_some() {
            return Err(io::Error::other("this process listens itself"));
        }
        let mut follower = self.follower.borrow_mut();
        let line = match &mut *follower {
            Some(line) => line,
            none => {
                let line = socket()?;
                connect(&line, &SocketAddrUnix::new(&self.path)?)?;
                none.insert(line)
            }
        };
        let bytes = parcel.bytes()?;
        // Guards against a message that the follower would have to cut.
        if bytes.len() > self.limits.handover_bytes {
            return Err(io::Error::other("too much waits at it"));
        }
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut rights = SendAncillaryBuffer::new(&mut space);
        rights.push(SendAncillaryMessage::ScmRights(&sides));
        let sent = sendmsg(
            &*line,
            &[IoSlice::new(&bytes)],
            &mut rights,
            SendFlags::NOSIGNAL | SendFlags::DONTWAIT,
        );
        match sent {
            Ok(_) => Ok(()),
            Err(e) => {
                // Its queue is full for the moment, or it is gone.
                if e != rustix::io::Errno::AGAIN {
                    *follower = None;
                }
                Err(e.into())
            }
        }
    }
}

/// A socket that keeps messages apart.
fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

fn file(path: &Path) -> io::Result<(u64, u64)> {
    let file = fs::metadata(path)?;
    Ok((file.dev(), file.ino()))
}

/// Takes over what one process hands over, up to its end.
async fn receive(ex: &'static LocalExecutor<'static>, line: OwnedFd, edge: Rc<Edge>, limits: Rc<Limits>) {
    let Ok(line) = Async::new(line) else { return };
    let mut taken = 0;
    loop {
        match message(line.get_ref(), &limits) {
            Ok(None) => break,
            Ok(Some((parcel, sides))) => {
                let id = parcel.id;
                match edge.clone().adopt(ex, parcel, sides) {
                    Ok(()) => taken += 1,
                    Err(e) => log::warn!(id = format!("{id:016x}"); "handover-failed: {e}"),
                }
                future::yield_now().await;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => drop(line.readable().await),
            Err(e) => {
                log::warn!("handover-failed: what came is no stream: {e}");
                break;
            }
        }
    }
    log::info!(streams = taken; "handover: streams of the process before this one go on here");
}

/// The next stream; none at the end.
fn message(line: &OwnedFd, limits: &Limits) -> io::Result<Option<(Parcel, [OwnedFd; 2])>> {
    let mut bytes = vec![0; limits.handover_bytes];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut rights = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
    let came = recvmsg(line, &mut [IoSliceMut::new(&mut bytes)], &mut rights, flags)?;
    let sides = rights.drain().flat_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sides) => sides.collect(),
        _ => Vec::new(),
    });
    let sides: Vec<OwnedFd> = sides.collect();
    if came.bytes == 0 && sides.is_empty() {
        return Ok(None);
    }
    if came.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) {
        return Err(io::Error::other("a message that is too long"));
    }
    let sides = sides.try_into().map_err(|_| io::Error::other("not two connections"))?;
    Ok(Some((Parcel::read(&bytes[..came.bytes])?, sides)))
}
