//! Running attempts, which the engine polls.

use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::Stream;

use super::attempt::AttemptFailure;
use super::connection::{Connection, ConnectionCount};
use super::open_response::{OpenResponse, attempt_update};
use super::{Batch, BufferedStream, Fleet, within};
use crate::engine::{AttemptRunner, AttemptUpdate};
use crate::front::{Dialect, ForwardedRequest};
use crate::net::handover_message::StreamSnapshot;
use crate::types::{ReplicaId, Verdict};

/// A request, and the fleet that its attempts are sent to.
pub struct Dispatch {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// The request.
    pub forwarded: Rc<ForwardedRequest>,
}

/// An attempt up to its first events.
type Opening = Pin<Box<dyn Future<Output = Result<(Box<OpenResponse>, Batch), AttemptFailure>>>>;

/// The state of an attempt.
enum Stage {
    Opening(Opening),
    Open(Box<OpenResponse>),
    Ended,
}

/// A running attempt. Dropping it closes its connection, which cancels it.
pub struct Running {
    fleet: Rc<Fleet>,
    stage: Stage,
}

impl Running {
    /// Writes the state of the attempt into a snapshot and returns its connection; `None` if the attempt has no event yet
    /// or has failed.
    pub fn write_snapshot(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        let Stage::Open(open) = &self.stage else { return None };
        if open.malformed || open.failed {
            return None;
        }
        snapshot.replica = open.replica.0.to_string();
        snapshot.addr = Some(open.addr);
        snapshot.body = Some(open.body);
        snapshot.keep_replica = open.keep;
        snapshot.last = open.last;
        snapshot.usage = open.usage;
        snapshot.buffers.from_replica.clone_from(&open.connection.wire.buf);
        snapshot.buffers.partial_event.clone_from(&open.text);
        Some(open.connection.wire.fd())
    }

    /// Records that another process now owns the connection, so that it is not reset here.
    pub fn mark_handed_over(&mut self) {
        if let Stage::Open(open) = &mut self.stage {
            open.connection.wire.reset_on_drop = false;
        }
    }

    /// Continues an attempt from another process's snapshot.
    ///
    /// # Errors
    ///
    /// If the socket can't be registered, or the snapshot names no replica.
    pub fn from_snapshot(
        fleet: Rc<Fleet>,
        snapshot: &mut StreamSnapshot,
        connection: OwnedFd,
    ) -> io::Result<Running> {
        let missing = || io::Error::other("the snapshot names no replica");
        let from_replica = std::mem::take(&mut snapshot.buffers.from_replica);
        let mut wire = BufferedStream::from_handover(connection, from_replica)?;
        wire.reset_on_drop = true;
        let open = OpenResponse {
            replica: ReplicaId::from(snapshot.replica.as_str()),
            addr: snapshot.addr.ok_or_else(missing)?,
            connection: Connection { wire, _count: ConnectionCount::new(&fleet.open) },
            dialect: Dialect::Platform,
            body: snapshot.body.ok_or_else(missing)?,
            keep: snapshot.keep_replica,
            malformed: false,
            failed: false,
            text: std::mem::take(&mut snapshot.buffers.partial_event),
            scanned: 0,
            received: 0,
            received_early: 0,
            last: snapshot.last,
            usage: snapshot.usage,
            report: Vec::new(),
        };
        Ok(Running { fleet, stage: Stage::Open(Box::new(open)) })
    }
}

impl AttemptRunner<Batch> for Dispatch {
    type Updates = Running;
    fn start_attempt(&self, replica: ReplicaId, timeout: Duration, write_within: Duration) -> Running {
        let (fleet, forwarded) = (self.fleet.clone(), self.forwarded.clone());
        let opening = async move {
            let opening = async {
                let mut open =
                    Box::new(fleet.send_attempt(&replica, &forwarded, timeout, write_within).await?);
                match fleet.first(&mut open).await {
                    // A stream that begins with an error is a failed attempt.
                    Ok(batch) if open.failed && batch.events == 1 => {
                        Err(AttemptFailure::Attempt(fleet.end(*open, Verdict::Error)))
                    }
                    Ok(batch) => Ok((open, batch)),
                    // A stream without an event is a failed attempt too.
                    Err(Verdict::Ok) => Err(Verdict::Error.into()),
                    Err(verdict) => Err(AttemptFailure::Attempt(fleet.end(*open, verdict))),
                }
            };
            within(timeout, opening).await.unwrap_or_else(|_| Err(Verdict::TimedOut.into()))
        };
        Running { fleet: self.fleet.clone(), stage: Stage::Opening(Box::pin(opening)) }
    }
}

impl Stream for Running {
    type Item = AttemptUpdate<Batch>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<AttemptUpdate<Batch>>> {
        let this = &mut *self;
        let batch = match &mut this.stage {
            Stage::Ended => return Poll::Ready(None),
            Stage::Opening(opening) => match ready!(opening.as_mut().poll(cx)) {
                Ok((open, batch)) => {
                    this.stage = Stage::Open(open);
                    Ok(batch)
                }
                Err(failure) => {
                    this.stage = Stage::Ended;
                    return Poll::Ready(Some(match failure {
                        AttemptFailure::Attempt(outcome) => AttemptUpdate::Ended(outcome),
                        AttemptFailure::Request(rejection) => AttemptUpdate::Rejected(rejection),
                    }));
                }
            },
            Stage::Open(open) if open.failed => Err(Verdict::Error),
            Stage::Open(open) => ready!(this.fleet.poll_batch(open, cx)),
        };
        Poll::Ready(Some(match (batch, std::mem::replace(&mut this.stage, Stage::Ended)) {
            (Ok(batch), Stage::Open(mut open)) => {
                let update = attempt_update(&mut open, batch);
                this.stage = Stage::Open(open);
                update
            }
            (Err(verdict), Stage::Open(open)) => AttemptUpdate::Ended(this.fleet.end(*open, verdict)),
            // Only an open response has a batch or an end.
            _ => return Poll::Ready(None),
        }))
    }
}
