//! Streams that go from one process of the gateway to the next.

use std::cell::RefCell;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;

use super::answering::Answering;
use super::charge::Charge;
use super::connection::AfterReply;
use super::exchange::Exchange;
use super::{BufferedStream, Edge};
use crate::admission::connection_slots::ConnectionState;
use crate::engine::{self, BegunStream};
use crate::front::{Dialect, Responder, ResponseEncoder};
use crate::net::handover_message::StreamSnapshot;
use crate::net::servers::Running;
use crate::types::ReplicaId;

impl Edge {
    /// Goes on with a stream that another process of this gateway began.
    ///
    /// # Errors
    ///
    /// If a socket can't be registered or has no peer, or the snapshot lacks what the stream needs to go on.
    pub fn adopt(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        mut snapshot: StreamSnapshot,
        [client, server]: [OwnedFd; 2],
    ) -> io::Result<()> {
        let [line, buf, ..] = &mut snapshot.waiting;
        let (line, wire) = (std::mem::take(line), BufferedStream::handed(client, std::mem::take(buf))?);
        let from = wire.peer()?;
        let steps = Running::unpack(self.fleet.clone(), &mut snapshot, server)?;
        let (responder, waiting) = (Responder::new(Dialect::Platform, &snapshot.name), line.len());
        let encoder =
            ResponseEncoder::resumed(responder.clone(), self.context.omissions.clone(), &self.limits);
        let back = Rc::new(RefCell::new(None));
        let exchange = Exchange {
            pipelined: self.pipelined(Dialect::Platform, &wire),
            edge: self.clone(),
            wire,
            responder,
            keep: snapshot.keep_client,
            model: String::new(),
            whole: false,
            back: back.clone(),
            from: Instant::now(),
            charge: Charge { edge: self.clone(), grant: None, prompt: 0, answer: 0, events: 0, ran: true },
        };
        let answer = Answering { exchange, encoder, line, written: 0 };
        let begun = BegunStream {
            id: snapshot.id,
            class: snapshot.class,
            tenant: snapshot.tenant,
            server: ReplicaId::from(snapshot.server.as_str()),
            first: snapshot.first,
        };
        let mut slot = self.slots.acquire();
        slot.set_state(ConnectionState::Serving);
        ex.spawn(async move {
            engine::carry_on(&self.engine, &begun, (steps, answer, waiting), &*self).await;
            match back.take() {
                Some(AfterReply::KeepAlive(wire)) => {
                    slot.set_state(ConnectionState::Idle);
                    self.connection(wire, from, Dialect::Platform, slot).await;
                }
                Some(AfterReply::Close(wire)) => self.close(wire, slot).await,
                None => {}
            }
        })
        .detach();
        Ok(())
    }
}

impl engine::StreamSuccessor<Running, Answering> for Edge {
    fn take(&self, begun: &BegunStream, steps: &mut Running, answer: &mut Answering) -> bool {
        if !self.followers.has_follower() {
            return false;
        }
        let mut snapshot = StreamSnapshot {
            id: begun.id,
            class: begun.class,
            tenant: begun.tenant,
            first: begun.first,
            ..StreamSnapshot::default()
        };
        let sent = match (answer.pack(&mut snapshot), steps.pack(&mut snapshot)) {
            (Some(client), Some(server)) => self.followers.send(&snapshot, [client, server]),
            _ => Err(io::Error::other("of a kind that stays")),
        };
        match &sent {
            Ok(()) => steps.given_away(),
            Err(e) => log::debug!(id = format!("{:016x}", begun.id); "not-handed-over: {e}"),
        }
        sent.is_ok()
    }
}
