//! The second address: whether this process can serve, and orders to drain and to take clients again.
//!
//! One call for each connection. Callers have places of their own, so that no crowd of clients keeps a call out; and
//! among callers the one that needs its place least gives it up, so that no crowd of callers does.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

use super::http::{self, Bad, Head};
use super::keeper::Keeper;
use super::{Wire, within};
use crate::engine::Engine;
use crate::front::Reply;
use crate::limits::Limits;
use crate::seats::{Patience, Seats, Sitting};

/// What all callers share.
pub struct Mgmt {
    engine: Engine,
    keeper: Rc<Keeper>,
    limits: Rc<Limits>,
    seats: RefCell<Seats>,
    /// How each is asked to leave: by closing this.
    leave: RefCell<BTreeMap<u64, Sender<()>>>,
    freed: (Sender<()>, Receiver<()>),
}

impl Mgmt {
    /// No callers yet.
    pub fn new(engine: Engine, keeper: Rc<Keeper>, limits: Rc<Limits>) -> Mgmt {
        let patience =
            Patience { mute: limits.mgmt_mute, arriving: limits.mgmt_slow, rested: limits.mgmt_mute };
        let (seats, freed) = (RefCell::new(Seats::new(patience)), async_channel::bounded(1));
        Mgmt { engine, keeper, limits, seats, leave: RefCell::default(), freed }
    }

    /// Takes calls for as long as the program lives.
    pub async fn listen(self: Rc<Self>, ex: &'static LocalExecutor<'static>, listener: Async<TcpListener>) {
        loop {
            if self.seats.borrow().taken() >= self.limits.mgmt_callers {
                if let Some(number) = self.seats.borrow_mut().spare(self.engine.now())
                    && let Some(leave) = self.leave.borrow().get(&number)
                {
                    leave.close();
                }
                let _ = within(self.limits.mgmt_mute, self.freed.1.recv()).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, from)) => {
                    let number = self.seats.borrow_mut().take(self.engine.now());
                    let (send, leave) = async_channel::bounded(1);
                    self.leave.borrow_mut().insert(number, send);
                    let this = self.clone();
                    ex.spawn(async move {
                        future::or(this.call(stream, from, number), async {
                            leave.recv().await.unwrap_or_default()
                        })
                        .await;
                        this.leave.borrow_mut().remove(&number);
                        this.seats.borrow_mut().free(number);
                        let _ = this.freed.0.try_send(());
                    })
                    .detach();
                }
                Err(e) => {
                    log::warn!("mgmt-accept-failed: {e}");
                    Timer::after(self.limits.accept_pause).await;
                }
            }
        }
    }

    /// One call, answered within its time, whatever has come of it.
    async fn call(&self, stream: Async<TcpStream>, from: SocketAddr, number: u64) {
        let mut wire = Wire::new(stream);
        let late = Bad { status: 408, what: "the call took too long to arrive" };
        let head = within(self.limits.mgmt_read, self.head(&mut wire, number)).await.unwrap_or(Err(late));
        let reply = match head {
            Ok(Some(head)) => self.answer(&head, from),
            Ok(None) => return,
            Err(bad) => Reply::text(bad.status, bad.what),
        };
        let _ = within(self.limits.mgmt_write, wire.write(&reply.bytes(false))).await;
        // Guards against a reset that overtakes the answer, where a body was sent with the call.
        let _ = within(self.limits.rest_read, wire.linger(&self.limits)).await;
    }

    /// A call's head; a body says nothing here. `None`: the caller left.
    async fn head(&self, wire: &mut Wire, number: u64) -> Result<Option<Head>, Bad> {
        loop {
            if let Some(head) = http::request_head(&mut wire.buf, &self.limits)? {
                return Ok(Some(head));
            }
            if !wire.fill(&self.limits).await.is_ok_and(|n| n > 0) {
                return Ok(None);
            }
            self.seats.borrow_mut().sit(self.engine.now(), number, Sitting::Arriving);
        }
    }

    fn answer(&self, head: &Head, from: SocketAddr) -> Reply {
        let [method, target, _] = &head.start;
        let path = target.split('?').next().unwrap_or_default();
        let (wanted, order): (&str, fn(&Mgmt) -> Reply) = match path {
            "/ready" => ("GET", Mgmt::ready),
            "/drain" => ("POST", Mgmt::drain),
            "/undrain" => ("POST", Mgmt::undrain),
            _ => return Reply::text(404, "no such call: GET /ready, POST /drain, POST /undrain"),
        };
        if method != wanted {
            return Reply::text(405, "not that method").with("Allow", wanted);
        }
        let reply = order(self);
        if wanted == "POST" {
            log::info!(call = path, client:% = from, status = reply.status; "mgmt-call: an order");
        }
        reply
    }

    fn ready(&self) -> Reply {
        if self.keeper.can_serve() { Reply::text(200, "ready") } else { Reply::text(503, "not ready") }
    }

    fn drain(&self) -> Reply {
        match self.keeper.drain() {
            Ok(()) => Reply::text(200, "drained: clients go elsewhere"),
            Err(_) => Reply::text(409, "stopping: it is emptied and ends"),
        }
    }

    fn undrain(&self) -> Reply {
        match self.keeper.undrain() {
            Ok(()) => Reply::text(200, "clients may come"),
            Err(_) => Reply::text(409, "stopping: it takes no clients any more"),
        }
    }
}
