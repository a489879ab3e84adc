//! Hands streams over between processes of the gateway.

use std::cell::RefCell;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;

use super::after_response::AfterResponse;
use super::charge::Charge;
use super::exchange::Exchange;
use super::responding_client::RespondingClient;
use super::{BufferedStream, EdgeServer};
use crate::admission::connection_slots::ConnectionState;
use crate::engine::{self, StreamInfo};
use crate::front::{Dialect, Responder, ResponseEncoder};
use crate::net::handover_message::StreamSnapshot;
use crate::net::upstream::Running;
use crate::types::ReplicaId;

impl EdgeServer {
    /// Continues a stream that another process of this gateway started.
    ///
    /// # Errors
    ///
    /// If a socket can't be registered or has no peer, or the snapshot lacks what the stream needs to go on.
    pub fn resume_handed_over(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        mut snapshot: StreamSnapshot,
        [client, replica]: [OwnedFd; 2],
    ) -> io::Result<()> {
        let out = std::mem::take(&mut snapshot.buffers.to_client);
        let wire =
            BufferedStream::from_handover(client, std::mem::take(&mut snapshot.buffers.from_client))?;
        let from = wire.peer()?;
        let updates = Running::from_snapshot(self.fleet.clone(), &mut snapshot, replica)?;
        let (responder, queued_bytes) = (Responder::new(Dialect::Platform, &snapshot.name), out.len());
        let encoder =
            ResponseEncoder::resumed(responder.clone(), self.context.omissions.clone(), &self.limits);
        let back = Rc::new(RefCell::new(None));
        let exchange = Exchange {
            pipelined: self.pipelined(Dialect::Platform, &wire),
            edge: self.clone(),
            wire,
            responder,
            keep_alive: snapshot.keep_client,
            model: String::new(),
            is_message: false,
            back: back.clone(),
            started_at: Instant::now(),
            charge: Charge {
                edge: self.clone(),
                grant: None,
                prompt: 0,
                output: 0,
                events: 0,
                may_have_run: true,
            },
        };
        let sink = RespondingClient { exchange, encoder, out, written: 0 };
        let info = StreamInfo {
            id: snapshot.id,
            class: snapshot.class,
            tenant: snapshot.tenant,
            replica: ReplicaId::from(snapshot.replica.as_str()),
            time_to_first_event: snapshot.first,
        };
        let mut slot = self.slots.acquire();
        slot.set_state(ConnectionState::Serving);
        ex.spawn(async move {
            engine::resume_stream(&self.engine, &info, (updates, sink, queued_bytes), &*self).await;
            match back.take() {
                Some(AfterResponse::KeepAlive(wire)) => {
                    slot.set_state(ConnectionState::Idle);
                    self.connection(wire, from, Dialect::Platform, slot).await;
                }
                Some(AfterResponse::Close(wire)) => self.close(wire, slot).await,
                None => {}
            }
        })
        .detach();
        Ok(())
    }
}

impl engine::StreamSuccessor<Running, RespondingClient> for EdgeServer {
    fn take_over(&self, info: &StreamInfo, updates: &mut Running, sink: &mut RespondingClient) -> bool {
        if !self.successors.has_successor() {
            return false;
        }
        let mut snapshot = StreamSnapshot {
            id: info.id,
            class: info.class,
            tenant: info.tenant,
            first: info.time_to_first_event,
            ..StreamSnapshot::default()
        };
        let sent = match (sink.write_snapshot(&mut snapshot), updates.write_snapshot(&mut snapshot)) {
            (Some(client), Some(replica)) => self.successors.send(&snapshot, [client, replica]),
            _ => Err(io::Error::other("the state of the stream can't be handed over")),
        };
        match &sent {
            Ok(()) => updates.mark_handed_over(),
            Err(e) => {
                log::debug!(id = format!("{:016x}", info.id); "not-handed-over: the stream stays in this process: {e}");
            }
        }
        sent.is_ok()
    }
}
