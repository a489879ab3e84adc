//! The attempts of a request: each is sent to one replica, if that is still allowed, and ends with an answer, with
//! a verdict for the decision module, or with its word.

use std::io;
use std::rc::Rc;
use std::task::Poll;

use futures_lite::future;
use tulipridge_load_balancer::types::{ReplicaId, Verdict};
use tulipridge_protocol::feed::ModelRevision;

use super::{Exchange, Final, RETRY_AT_ONCE, RETRY_SOON, Step};
use crate::client::Client;
use crate::placement::{Order, work};
use crate::replica::attempt::{self, AttemptEnd, Failure, Outgoing};
use crate::replica::connection::Connection;
use crate::replica::outcome::{self, Next, SendEvent};
use crate::replica::replicas::ReplicaEntry;

/// Descriptors are used up in the system, says Linux.
const NO_DESCRIPTOR_IN_SYSTEM: i32 = 23;
/// Descriptors are used up in this process, says Linux.
const NO_DESCRIPTOR_HERE: i32 = 24;

/// Why an attempt's work ended early.
enum Interrupted {
    /// There is no connection.
    Connect(SendEvent),
    /// The client has left.
    Left,
    /// The module wants something else.
    Order(Order),
}

impl Exchange<'_> {
    /// Sends the request to a replica.
    pub(super) async fn attempt(
        &mut self,
        client: &mut Client<'_>,
        attempt: u32,
        replica: &ReplicaId,
    ) -> Step {
        self.held.begin(attempt);
        if !self.is_still_admitted() {
            return Step::Answer(self.withdrawn());
        }
        let replica = self.proxy.replicas.borrow().ready(replica).cloned();
        let Some(replica) = replica.filter(|_| self.may_send()) else {
            self.held.outcome(Verdict::NotSent, false);
            return Step::Continue;
        };
        let connection = match self.connection(client, &replica).await {
            Ok(connection) => connection,
            Err(Interrupted::Connect(event)) => return self.ended(&replica.id, event, None),
            Err(Interrupted::Left) => return Step::Answer(Final::None),
            Err(Interrupted::Order(order)) => return self.interrupted(order),
        };
        // The replica may have begun to drain, and the configuration have changed, while a connection came up.
        if !self.is_still_admitted() {
            return Step::Answer(self.withdrawn());
        }
        let is_ready = self.proxy.replicas.borrow().ready(&replica.id).is_some();
        if !is_ready || !self.take_send() {
            self.held.outcome(Verdict::NotSent, false);
            return Step::Continue;
        }
        self.send(client, replica, connection).await
    }

    /// Whether route, service and key still are what they were when the request came.
    fn is_still_admitted(&self) -> bool {
        let newest = self.proxy.routing();
        newest.is_some_and(|newest| self.admitted.holds_under(&newest, &self.incoming.head))
    }

    fn withdrawn(&self) -> Final {
        Final::Own(self.failed(RETRY_AT_ONCE))
    }

    /// Whether a send is allowed by the request's kind, the route's attempts and the service's budget.
    pub(super) fn may_send(&self) -> bool {
        let is_in_budget = || {
            self.sends < self.admitted.route().max_attempts
                && self.proxy.may_repeat(self.admitted.service())
        };
        self.sends == 0 || outcome::may_send_again(self.kind(), self.known) && is_in_budget()
    }

    /// Counts a send that follows at once; false if it must not.
    fn take_send(&mut self) -> bool {
        let service = self.admitted.service();
        if self.sends == 0 {
            self.proxy.count_first_send(service);
            self.proxy.counters.first_sends.add();
        } else if self.may_send() && self.proxy.take_repeat(service) {
            self.proxy.counters.repeated_sends.add();
        } else {
            return false;
        }
        self.sends += 1;
        true
    }

    /// A connection to the replica, an idle one if there is one.
    async fn connection(
        &self,
        client: &mut Client<'_>,
        replica: &ReplicaEntry,
    ) -> Result<Connection, Interrupted> {
        if let Some(connection) = self.proxy.pool.take(&replica.id) {
            return Ok(connection);
        }
        self.proxy.counters.connects.add();
        let connect = async {
            self.proxy
                .pool
                .connect(replica.address)
                .await
                .map_err(|error| Interrupted::Connect(connect_event(&error)))
        };
        self.unless_interrupted(client, connect).await?
    }

    /// Writes the request, and reads its answer up to where it can be passed on.
    async fn send(
        &mut self,
        client: &mut Client<'_>,
        replica: Rc<ReplicaEntry>,
        connection: Connection,
    ) -> Step {
        let (head, unread_tokens) = self.head_for(&replica);
        let work = work::units(unread_tokens);
        let outgoing = Outgoing {
            head: &head,
            body: &self.incoming.body,
            attempt_id: self.incoming.attempt_id(),
            is_head_request: self.incoming.head.start[0] == "HEAD",
        };
        self.held.written(&replica.id, work);
        let waiting = self.proxy.work.begin(&replica.id, work);
        let weights = self.incoming.head.get("llm").and_then(|model| replica.weights(model));
        let exchange = attempt::exchange(&self.proxy.pool, &replica, connection, outgoing);
        let exchange = self.unless_outdated(weights, exchange);
        let end = self.unless_interrupted(client, exchange).await;
        drop(waiting);
        match end {
            Ok(AttemptEnd::Success(answer)) => {
                self.known = SendEvent::Success.known();
                self.held.first_token();
                Step::Begun(answer)
            }
            Ok(AttemptEnd::Failure(event, failure)) => {
                self.ended(&replica.id, event, Some(Box::new(failure)))
            }
            Ok(AttemptEnd::Ended(event)) => self.ended(&replica.id, event, None),
            Err(Interrupted::Order(order)) => self.interrupted(order),
            Err(_) => Step::Answer(Final::None),
        }
    }

    /// How an exchange ends, unless its answer has not begun when these weights must not be used any more.
    async fn unless_outdated(
        &self,
        weights: Option<&ModelRevision>,
        exchange: impl Future<Output = AttemptEnd>,
    ) -> AttemptEnd {
        let Some(weights) = weights else { return exchange.await };
        let outdated = async {
            self.proxy.outdated(weights).await;
            AttemptEnd::Ended(SendEvent::Outdated)
        };
        future::or(exchange, outdated).await
    }

    /// An attempt has ended without the module's doing, before anything was passed on.
    fn ended(&mut self, replica: &ReplicaId, event: SendEvent, failure: Option<Box<Failure>>) -> Step {
        let outcome = outcome::decide(self.kind(), event);
        self.known = self.known.max(outcome.known);
        let is_sent_again = match outcome.next {
            Next::SendAgain => true,
            Next::SendAgainOrPassOn => self.may_send(),
            Next::Resume | Next::PassOn | Next::Fail | Next::BreakOff => false,
        };
        self.held.outcome(outcome.verdict, !is_sent_again);
        match event {
            SendEvent::WrongReplica => self.proxy.displace(replica),
            SendEvent::Outdated => self.proxy.counters.outdated.add(),
            _ => {}
        }
        match failure {
            Some(failure) if is_sent_again => self.failure = Some(failure),
            Some(failure) => return Step::Answer(Final::Replica(failure)),
            None if is_sent_again => {}
            None => return Step::Answer(Final::Own(self.failed(RETRY_SOON))),
        }
        Step::Continue
    }

    /// The module has ended an attempt that is out.
    fn interrupted(&mut self, order: Order) -> Step {
        if self.held.may_have_run() {
            self.known = self.known.max(SendEvent::Silence.known());
        }
        match order {
            Order::Cancel(_) => {
                self.held.call_off(false);
                Step::Continue
            }
            Order::Fail => {
                self.held.call_off(true);
                Step::Answer(Final::Own(self.failed(RETRY_AT_ONCE)))
            }
            Order::Refuse(wait) => {
                self.held.call_off(true);
                Step::Answer(self.declined(wait))
            }
            // The module sends nothing while an attempt is out.
            Order::Send { .. } => Step::Continue,
        }
    }

    /// What `work` gives, unless the client leaves or the module ends the attempt before. At the deadline it has
    /// failed: the module says nothing of that once an answer has begun, as where a stream is to be resumed.
    async fn unless_interrupted<T>(
        &self,
        client: &mut Client<'_>,
        work: impl Future<Output = T>,
    ) -> Result<T, Interrupted> {
        let mut deadline = self.proxy.alarms.at(self.deadline);
        let interrupted = future::poll_fn(|context| {
            if let Poll::Ready(order) = self.held.poll_order(context) {
                return Poll::Ready(Err(Interrupted::Order(order)));
            }
            if client.poll_gone(context).is_ready() {
                return Poll::Ready(Err(Interrupted::Left));
            }
            deadline.poll_passed(context).map(|()| Err(Interrupted::Order(Order::Fail)))
        });
        future::or(async { Ok(work.await) }, interrupted).await
    }
}

/// What it means that no connection came up.
fn connect_event(error: &io::Error) -> SendEvent {
    match (error.kind(), error.raw_os_error()) {
        (io::ErrorKind::QuotaExceeded, _) | (_, Some(NO_DESCRIPTOR_IN_SYSTEM | NO_DESCRIPTOR_HERE)) => {
            SendEvent::NoDescriptor
        }
        (io::ErrorKind::TimedOut, _) => SendEvent::ConnectTimedOut,
        _ => SendEvent::ConnectRefused,
    }
}
