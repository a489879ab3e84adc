//! Schedulings on real servers, as the engine holds them.

use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::Stream;

use super::attempt::Refusal;
use super::connection::{Connection, ConnectionCount};
use super::open_answer::{OpenAnswer, arrived};
use super::{Batch, BufferedStream, Fleet, within};
use crate::engine::{Servers, Step};
use crate::front::{Dialect, ForwardedRequest};
use crate::net::handover_message::StreamSnapshot;
use crate::types::{ReplicaId, Verdict};

/// A request on its way to real servers.
pub struct Dispatch {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// The request.
    pub forwarded: Rc<ForwardedRequest>,
}

/// How a scheduling begins: its first events, or why there are none.
type Beginning = Pin<Box<dyn Future<Output = Result<(Box<OpenAnswer>, Batch), Refusal>>>>;

/// Where a scheduling stands.
enum Stage {
    Beginning(Beginning),
    Open(Box<OpenAnswer>),
    Over,
}

/// A scheduling that runs. Dropping it closes its connection, which gives it up.
pub struct Running {
    fleet: Rc<Fleet>,
    stage: Stage,
}

impl Running {
    /// Adds where its stream stands, and returns its connection; none if no event has come yet or more can't.
    pub fn pack(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        let Stage::Open(open) = &self.stage else { return None };
        if open.spoilt || open.failed {
            return None;
        }
        snapshot.server = open.server.0.to_string();
        snapshot.addr = Some(open.addr);
        snapshot.body = Some(open.body);
        (snapshot.keep_server, snapshot.last, snapshot.usage) = (open.keep, open.last, open.usage);
        snapshot.waiting[2].clone_from(&open.connection.wire.buf);
        snapshot.waiting[3].clone_from(&open.text);
        Some(open.connection.wire.fd())
    }

    /// Another process has its connection now, so it must not be reset from here.
    pub fn given_away(&mut self) {
        if let Stage::Open(open) = &mut self.stage {
            open.connection.wire.reset_on_drop = false;
        }
    }

    /// Goes on with what another process packed.
    ///
    /// # Errors
    ///
    /// If the socket can't be registered, or the snapshot names no real server.
    pub fn unpack(fleet: Rc<Fleet>, snapshot: &mut StreamSnapshot, side: OwnedFd) -> io::Result<Running> {
        let missing = || io::Error::other("no real server in it");
        let [_, _, buf, text] = &mut snapshot.waiting;
        let mut wire = BufferedStream::handed(side, std::mem::take(buf))?;
        wire.reset_on_drop = true;
        let open = OpenAnswer {
            server: ReplicaId::from(snapshot.server.as_str()),
            addr: snapshot.addr.ok_or_else(missing)?,
            connection: Connection { wire, slot: ConnectionCount::new(&fleet.open) },
            dialect: Dialect::Platform,
            body: snapshot.body.ok_or_else(missing)?,
            keep: snapshot.keep_server,
            spoilt: false,
            failed: false,
            text: std::mem::take(text),
            scanned: 0,
            came: 0,
            early: 0,
            last: snapshot.last,
            usage: snapshot.usage,
            report: Vec::new(),
        };
        Ok(Running { fleet, stage: Stage::Open(Box::new(open)) })
    }
}

impl Servers<Batch> for Dispatch {
    type Steps = Running;
    fn schedule(&self, server: ReplicaId, timeout: Duration, write_within: Duration) -> Running {
        let (fleet, forwarded) = (self.fleet.clone(), self.forwarded.clone());
        let begun = async move {
            let begun = async {
                let mut open = Box::new(fleet.begin(&server, &forwarded, timeout, write_within).await?);
                match fleet.first(&mut open).await {
                    // An error in the first place of all is an answer that serves nobody.
                    Ok(batch) if open.failed && batch.events == 1 => {
                        Err(Refusal::Scheduling(fleet.end(*open, Verdict::Error)))
                    }
                    Ok(batch) => Ok((open, batch)),
                    // A stream without an event serves nobody.
                    Err(Verdict::Ok) => Err(Verdict::Error.into()),
                    Err(verdict) => Err(Refusal::Scheduling(fleet.end(*open, verdict))),
                }
            };
            within(timeout, begun).await.unwrap_or_else(|_| Err(Verdict::TimedOut.into()))
        };
        Running { fleet: self.fleet.clone(), stage: Stage::Beginning(Box::pin(begun)) }
    }
}

impl Stream for Running {
    type Item = Step<Batch>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Step<Batch>>> {
        let this = &mut *self;
        let batch = match &mut this.stage {
            Stage::Over => return Poll::Ready(None),
            Stage::Beginning(begun) => match ready!(begun.as_mut().poll(cx)) {
                Ok((open, batch)) => {
                    this.stage = Stage::Open(open);
                    Ok(batch)
                }
                Err(refusal) => {
                    this.stage = Stage::Over;
                    return Poll::Ready(Some(match refusal {
                        Refusal::Scheduling(ending) => Step::Ended(ending),
                        Refusal::Request(status, words) => Step::Rejected(status, words),
                    }));
                }
            },
            Stage::Open(open) if open.failed => Err(Verdict::Error),
            Stage::Open(open) => ready!(this.fleet.poll_batch(open, cx)),
        };
        Poll::Ready(Some(match (batch, std::mem::replace(&mut this.stage, Stage::Over)) {
            (Ok(batch), Stage::Open(mut open)) => {
                let step = arrived(&mut open, batch);
                this.stage = Stage::Open(open);
                step
            }
            (Err(verdict), Stage::Open(open)) => Step::Ended(this.fleet.end(*open, verdict)),
            // A batch or an end comes of what is open alone.
            _ => return Poll::Ready(None),
        }))
    }
}
