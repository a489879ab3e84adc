//! The newer processes of this gateway, to which streams may be handed over.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;

use async_io::Async;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

use super::handover_message::StreamSnapshot;
use crate::limits::Limits;

/// Connections to newer processes.
pub struct Followers {
    /// Streams may go to them.
    streams: bool,
    limits: Rc<Limits>,
    /// The newest last.
    newer: RefCell<Vec<Rc<Async<OwnedFd>>>>,
}

impl Followers {
    /// None so far; `streams` says whether streams may go to those that come.
    #[must_use]
    pub fn new(streams: bool, limits: Rc<Limits>) -> Followers {
        Followers { streams, limits, newer: RefCell::default() }
    }

    /// A newer process has connected.
    pub fn add(&self, line: Rc<Async<OwnedFd>>) {
        self.newer.borrow_mut().push(line);
    }

    /// A newer process is gone.
    pub fn remove(&self, line: &Rc<Async<OwnedFd>>) {
        self.newer.borrow_mut().retain(|other| !Rc::ptr_eq(other, line));
    }

    /// There is a process that streams may go to.
    pub fn has_follower(&self) -> bool {
        self.streams && !self.newer.borrow().is_empty()
    }

    /// Hands a stream over with its client's and its replica's connection. An error says that it was not, and
    /// may be later.
    ///
    /// # Errors
    ///
    /// If no newer process is connected, if the snapshot has more bytes than fit, or if it can't be written now.
    pub fn send(&self, snapshot: &StreamSnapshot, sides: [BorrowedFd<'_>; 2]) -> io::Result<()> {
        let newer = self.newer.borrow();
        let line = newer.last().ok_or(io::ErrorKind::NotConnected)?;
        let bytes = snapshot.bytes()?;
        // Guards against a message that the follower would have to cut.
        if bytes.len() > self.limits.lifecycle.handover_bytes {
            return Err(io::Error::other("too much waits at it"));
        }
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut rights = SendAncillaryBuffer::new(&mut space);
        rights.push(SendAncillaryMessage::ScmRights(&sides));
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        sendmsg(line.get_ref(), &[IoSlice::new(&bytes)], &mut rights, flags)?;
        Ok(())
    }
}
