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
pub struct Successors {
    /// Streams may be handed over to them.
    streams: bool,
    limits: Rc<Limits>,
    /// In the order of their connection, the newest last.
    newer: RefCell<Vec<Rc<Async<OwnedFd>>>>,
}

impl Successors {
    /// Creates an empty set; `streams` tells whether streams may be handed over.
    #[must_use]
    pub fn new(streams: bool, limits: Rc<Limits>) -> Successors {
        Successors { streams, limits, newer: RefCell::default() }
    }

    /// Adds a newer process that has connected.
    pub fn add(&self, socket: Rc<Async<OwnedFd>>) {
        self.newer.borrow_mut().push(socket);
    }

    /// Removes a newer process that has ended.
    pub fn remove(&self, socket: &Rc<Async<OwnedFd>>) {
        self.newer.borrow_mut().retain(|other| !Rc::ptr_eq(other, socket));
    }

    /// Whether there is a process to which streams may be handed over.
    pub fn has_successor(&self) -> bool {
        self.streams && !self.newer.borrow().is_empty()
    }

    /// Hands a stream over together with its client's and its replica's connection. After an error the stream is still
    /// here, and a later call may succeed.
    ///
    /// # Errors
    ///
    /// If no newer process is connected, if the snapshot has more bytes than fit, or if it can't be written now.
    pub fn send(&self, snapshot: &StreamSnapshot, connections: [BorrowedFd<'_>; 2]) -> io::Result<()> {
        let newer = self.newer.borrow();
        let socket = newer.last().ok_or(io::ErrorKind::NotConnected)?;
        let bytes = snapshot.bytes()?;
        // The receiver would truncate a longer message.
        if bytes.len() > self.limits.lifecycle.handover_bytes {
            return Err(io::Error::other("the snapshot exceeds the size limit"));
        }
        let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut rights = SendAncillaryBuffer::new(&mut control_buffer);
        rights.push(SendAncillaryMessage::ScmRights(&connections));
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        sendmsg(socket.get_ref(), &[IoSlice::new(&bytes)], &mut rights, flags)?;
        Ok(())
    }
}
