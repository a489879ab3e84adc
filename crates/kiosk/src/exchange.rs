//! The life of one request, from the moment that it was read whole to its one final answer.

use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_lite::future;
use jetway::http::Body;
use signpost::types::{Effect, ReplicaId, Verdict};

use crate::admission::Admitted;
use crate::attempt::{self, Answer, AttemptEnd, Failure, Outgoing};
use crate::client::{Client, Done, Incoming, write_last, write_own};
use crate::headers::{self, Additions, Framing, OwnAnswer};
use crate::held::Held;
use crate::kv_cache::{Chain, KvTransfer, Target};
use crate::placement::{self, Ask, Order};
use crate::pool::Connection;
use crate::prompt::{self, Prompt};
use crate::proxy::Proxy;
use crate::relay::{Relay, RelayEnd};
use crate::replicas::ReplicaEntry;

/// What a client is told while nothing can be judged or placed.
const RETRY_SOON: Duration = Duration::from_millis(500);
/// What a client is told whose request the newest configuration has handled otherwise.
const RETRY_AT_ONCE: Duration = Duration::from_millis(50);
/// A request that could be sent to nobody is given up after this part of its target.
const IDLE_PART: u32 = 5;
/// Time after its deadline at which a begun answer is broken off; its replica has ended it before.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Answers a request.
pub async fn serve(proxy: &Rc<Proxy>, client: Client<'_>, incoming: &Incoming) -> Done {
    proxy.counters.requests.add();
    let Some(routing) = proxy.routing() else {
        proxy.counters.refused.add();
        return write_own(proxy, client, incoming, OwnAnswer::refusal(RETRY_SOON)).await;
    };
    let admitted = match routing.admit(&incoming.head, proxy.chance()) {
        Ok(admitted) => admitted,
        Err(denial) => {
            proxy.counters.denied.add();
            return write_own(proxy, client, incoming, OwnAnswer::plain(denial.status())).await;
        }
    };
    drop(routing);
    match Exchange::place(proxy, incoming, admitted) {
        Some(exchange) => exchange.run(client).await,
        None => {
            proxy.counters.refused.add();
            write_own(proxy, client, incoming, OwnAnswer::refusal(RETRY_SOON)).await
        }
    }
}

/// What comes next of a request that waits.
enum Next {
    Order(Order),
    ClientLeft,
    /// Nobody could take it for too long.
    NobodyFree,
}

/// What a step of a request leads to.
enum Step {
    /// The module gives the next order.
    Continue,
    /// The client gets this, and the request is over.
    Answer(Final),
    /// An answer has begun.
    Begun(Box<Answer>),
}

/// The final answer of a request whose answer has not begun.
enum Final {
    Own(OwnAnswer),
    Replica(Box<Failure>),
    /// The client has left.
    None,
}

/// A placed request.
struct Exchange<'a> {
    proxy: &'a Rc<Proxy>,
    incoming: &'a Incoming,
    admitted: Admitted,
    held: Held,
    deadline: Instant,
    /// Replicas that the request was written to.
    sends: u32,
    /// Some replica may have run it.
    may_have_run: bool,
    /// A failure of a replica that the client gets if nobody does better.
    failure: Option<Box<Failure>>,
    /// The answer that the client has been passed a part of.
    relay: Option<Relay>,
}

impl<'a> Exchange<'a> {
    fn place(proxy: &'a Rc<Proxy>, incoming: &'a Incoming, admitted: Admitted) -> Option<Exchange<'a>> {
        let limit = Duration::from_millis(admitted.route().time_limit_ms);
        let deadline = incoming.started + incoming.time_left().map_or(limit, |left| left.min(limit));
        let ask = Ask {
            class: proxy.placement.borrow().class(&admitted.route().label)?,
            expires_in: deadline.saturating_duration_since(Instant::now()),
            prompt: Prompt::read(&incoming.head),
        };
        let held = Held::place(&proxy.placement, admitted.service(), deadline, ask)?;
        Some(Exchange {
            proxy,
            incoming,
            admitted,
            held,
            deadline,
            sends: 0,
            may_have_run: false,
            failure: None,
            relay: None,
        })
    }

    async fn run(mut self, mut client: Client<'_>) -> Done {
        loop {
            let step = match self.next(&mut client).await {
                Next::ClientLeft => Step::Answer(Final::None),
                Next::NobodyFree => Step::Answer(Final::Own(OwnAnswer::refusal(RETRY_SOON))),
                Next::Order(order) => self.act(&mut client, order).await,
            };
            let end = match step {
                Step::Continue => continue,
                Step::Answer(answer) => return self.answer(client, answer).await,
                Step::Begun(answer) => self.pass_on(&mut client, answer).await,
            };
            if let Some(done) = end {
                return done;
            }
        }
    }

    /// Waits for what comes next, while nothing is out. It does not wait long for somebody to send to.
    async fn next(&self, client: &mut Client<'_>) -> Next {
        let longest = Duration::from_millis(self.admitted.route().target_ms) / IDLE_PART;
        let from = if self.sends == 0 { self.incoming.started } else { Instant::now() };
        let mut give_up = self.proxy.alarms.at(from + longest);
        future::poll_fn(|context| {
            if let Poll::Ready(order) = self.held.poll_order(context) {
                return Poll::Ready(Next::Order(order));
            }
            if client.poll_gone(context).is_ready() {
                return Poll::Ready(Next::ClientLeft);
            }
            give_up.poll_passed(context).map(|()| Next::NobodyFree)
        })
        .await
    }

    async fn act(&mut self, client: &mut Client<'_>, order: Order) -> Step {
        match order {
            Order::Send { attempt, replica } => self.attempt(client, attempt, &replica).await,
            // Nothing is out.
            Order::Cancel(_) => Step::Continue,
            Order::Refuse(wait) => Step::Answer(Final::Own(OwnAnswer::refusal(wait))),
            Order::Fail => Step::Answer(Final::Own(self.failed())),
        }
    }

    fn failed(&self) -> OwnAnswer {
        let is_late = Instant::now() >= self.deadline;
        OwnAnswer::plain(if is_late { 504 } else { 502 })
    }

    // ---- attempts -----------------------------------------------------------------------------------------

    async fn attempt(&mut self, client: &mut Client<'_>, attempt: u32, replica: &ReplicaId) -> Step {
        self.held.begin(attempt);
        if !self.is_still_admitted() {
            return Step::Answer(self.withdrawn());
        }
        let replica = self.proxy.replicas.borrow().ready(replica).cloned();
        let Some(replica) = replica.filter(|_| self.may_send()) else {
            self.held.outcome(Verdict::Moot, false);
            return Step::Continue;
        };
        let connection = match self.connection(client, &replica).await {
            Ok(connection) => connection,
            Err(Interrupted::Connect(verdict)) => {
                self.held.outcome(verdict, false);
                return Step::Continue;
            }
            Err(Interrupted::Left) => return Step::Answer(Final::None),
            Err(Interrupted::Order(order)) => return self.interrupted(order),
        };
        // The replica may have begun to drain, and the configuration have changed, while a connection came up.
        if !self.is_still_admitted() {
            return Step::Answer(self.withdrawn());
        }
        let is_ready = self.proxy.replicas.borrow().ready(&replica.id).is_some();
        if !is_ready || !self.take_send() {
            self.held.outcome(Verdict::Moot, false);
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
        Final::Own(if self.may_have_run { self.failed() } else { OwnAnswer::refusal(RETRY_AT_ONCE) })
    }

    /// Whether a send is within the route's attempts and the service's budget.
    fn may_send(&self) -> bool {
        self.sends == 0
            || self.sends < self.admitted.route().max_attempts
                && self.proxy.may_repeat(self.admitted.service())
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
            self.proxy.pool.connect(replica.address).await.map_err(|error| {
                // Nobody's fault but this process's.
                let is_own = error.kind() == std::io::ErrorKind::QuotaExceeded
                    || matches!(error.raw_os_error(), Some(NO_DESCRIPTOR_IN_SYSTEM | NO_DESCRIPTOR_HERE));
                Interrupted::Connect(if is_own { Verdict::Moot } else { Verdict::NoConnection })
            })
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
        let head = self.head_for(&replica);
        let outgoing = Outgoing {
            head: &head,
            body: &self.incoming.body,
            attempt_id: self.incoming.attempt_id(),
            is_head_request: self.incoming.head.start[0] == "HEAD",
        };
        self.held.written();
        let exchange = attempt::exchange(&self.proxy.pool, &replica, connection, outgoing);
        match self.unless_interrupted(client, exchange).await {
            Ok(end) => self.ended(&replica.id, end),
            Err(Interrupted::Order(order)) => self.interrupted(order),
            Err(_) => Step::Answer(Final::None),
        }
    }

    /// The head with which this replica is sent the request.
    fn head_for(&self, replica: &ReplicaEntry) -> Vec<u8> {
        let admitted = &self.admitted;
        let model = self.incoming.head.get("llm");
        let revision = model.and_then(|model| replica.revision(model));
        let salt = model.map(|_| admitted.salt(revision.unwrap_or(0)));
        let kv = salt.as_deref().map(|salt| self.kv_transfer(replica, salt)).unwrap_or_default();
        let additions = Additions {
            replica: &replica.id.0,
            tenant: admitted.tenant().map(|tenant| tenant.label.as_str()),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            priority: self.priority(kv),
            revision,
            salt: salt.as_deref(),
            kv,
            last_event_id: self.relay.as_ref().and_then(Relay::last_event_id),
        };
        let mut head = Vec::with_capacity(1024);
        headers::write_request(&self.incoming.head, self.incoming.body.len(), &additions, &mut head);
        head
    }

    /// The urgency by the operator's rank and by what the replica has to read: the last part of the prompt is the
    /// request's own.
    fn priority(&self, kv: KvTransfer) -> u8 {
        let prompt = Prompt::read(&self.incoming.head);
        let own_tokens = prompt.tokens.saturating_sub(prompt.shared_tokens);
        let unread_tokens = own_tokens.saturating_add(kv.unread_tokens);
        self.proxy.urgency.borrow_mut().priority(self.admitted.rank(), unread_tokens)
    }

    /// Where this replica takes the KV cache of the prompt from, and where it keeps it.
    fn kv_transfer(&self, replica: &ReplicaEntry, salt: &str) -> KvTransfer {
        let chain = Chain::new(prompt::shared_parts(&self.incoming.head), salt);
        let replicas = self.proxy.replicas.borrow();
        let zone_of = |address| {
            let other = replicas.at(address).filter(|other| other.service == replica.service);
            other.map(|other| other.zone)
        };
        let target = Target { address: replica.address, zone: replica.zone };
        self.proxy.kv.borrow_mut().plan(station::clock::now(), &chain, target, zone_of)
    }

    /// An attempt has ended without the module's doing.
    fn ended(&mut self, replica: &ReplicaId, end: AttemptEnd) -> Step {
        match end {
            AttemptEnd::Success(answer) => {
                self.may_have_run = true;
                self.held.first_token();
                return Step::Begun(answer);
            }
            AttemptEnd::Unsent(verdict) => self.held.outcome(verdict, false),
            AttemptEnd::NotRun => self.held.outcome(Verdict::Full, false),
            AttemptEnd::WrongReplica => {
                self.held.outcome(Verdict::Full, false);
                self.proxy.displace(replica);
            }
            AttemptEnd::Broken => {
                self.may_have_run = true;
                self.held.outcome(Verdict::Reset, false);
            }
            AttemptEnd::Failure(failure) => return self.replica_failed(Box::new(failure)),
        }
        Step::Continue
    }

    /// A replica's failure goes to the client, unless another replica may do better.
    fn replica_failed(&mut self, failure: Box<Failure>) -> Step {
        if failure.not_run {
            self.held.outcome(Verdict::Full, true);
            return Step::Answer(Final::Replica(failure));
        }
        self.may_have_run = true;
        let repeats = failure.head.status() == 500
            && placement::effect_of(self.admitted.route()) == Effect::Safe
            && self.may_send();
        self.held.outcome(Verdict::Error, !repeats);
        if repeats {
            self.failure = Some(failure);
            return Step::Continue;
        }
        Step::Answer(Final::Replica(failure))
    }

    /// The module has ended an attempt that is out.
    fn interrupted(&mut self, order: Order) -> Step {
        let may_run = self.held.may_have_run();
        self.may_have_run |= may_run;
        match order {
            Order::Cancel(_) => {
                self.held.call_off(false);
                Step::Continue
            }
            // The deadline passed while a connection came up: nothing was sent.
            Order::Fail if !self.may_have_run => {
                self.held.call_off(true);
                Step::Answer(Final::Own(OwnAnswer::refusal(RETRY_AT_ONCE)))
            }
            Order::Fail => {
                self.held.call_off(true);
                Step::Answer(Final::Own(self.failed()))
            }
            Order::Refuse(wait) => {
                self.held.call_off(true);
                Step::Answer(Final::Own(OwnAnswer::refusal(wait)))
            }
            // The module sends nothing while an attempt is out.
            Order::Send { .. } => Step::Continue,
        }
    }

    /// What `work` gives, unless the client leaves or the module ends the attempt before.
    async fn unless_interrupted<T>(
        &self,
        client: &mut Client<'_>,
        work: impl Future<Output = T>,
    ) -> Result<T, Interrupted> {
        let interrupted = future::poll_fn(|context| {
            if let Poll::Ready(order) = self.held.poll_order(context) {
                return Poll::Ready(Err(Interrupted::Order(order)));
            }
            client.poll_gone(context).map(|()| Err(Interrupted::Left))
        });
        future::or(async { Ok(work.await) }, interrupted).await
    }

    // ---- answers ------------------------------------------------------------------------------------------

    /// Writes the final answer of a request; one that has begun can only be broken off.
    async fn answer(mut self, client: Client<'_>, answer: Final) -> Done {
        let counters = &self.proxy.counters;
        if self.relay.is_some() {
            counters.broken.add();
            return Done::Abandon;
        }
        let answer = match (answer, self.failure.take()) {
            (Final::None, _) => {
                counters.abandoned.add();
                return Done::Abandon;
            }
            (Final::Own(_), Some(failure)) | (Final::Replica(failure), _) => {
                counters.failed.add();
                return self.answer_failure(client, &failure).await;
            }
            (Final::Own(answer), None) => answer,
        };
        if answer.status == 503 {
            counters.refused.add()
        } else {
            counters.failed.add()
        }
        let (proxy, incoming) = (self.proxy, self.incoming);
        // What is still out is called off before the client is told.
        drop(self);
        write_own(proxy, client, incoming, answer).await
    }

    async fn answer_failure(self, client: Client<'_>, failure: &Failure) -> Done {
        let proxy = self.proxy;
        drop(self);
        let after = client.after(proxy);
        let framing = match failure.head.response_body() {
            Ok(Body::Length(0)) if failure.body.is_empty() => Framing::None,
            _ => Framing::Length(failure.body.len()),
        };
        let mut bytes = Vec::new();
        headers::write_answer(&failure.head, framing, after, &mut bytes);
        bytes.extend_from_slice(&failure.body);
        write_last(proxy, client, &bytes, after).await
    }

    /// Passes a begun answer on. None if it broke off and another replica may go on with it.
    async fn pass_on(&mut self, client: &mut Client<'_>, answer: Box<Answer>) -> Option<Done> {
        let mut relay = match self.relay.take() {
            Some(relay) => relay,
            None => {
                let is_stream = self.admitted.route().resumable;
                Relay::new(
                    &answer,
                    is_stream,
                    client.after(self.proxy),
                    self.incoming.head.start[0] == "HEAD",
                )
            }
        };
        let give_up_at = self.deadline + DEADLINE_GRACE;
        let end = relay.pass_on(self.proxy, client, *answer, give_up_at).await;
        let counters = &self.proxy.counters;
        match end {
            RelayEnd::Whole => {
                counters.passed.add();
                self.held.outcome(Verdict::Ok, true);
                Some(relay.after().into())
            }
            RelayEnd::ClientLeft => {
                counters.abandoned.add();
                Some(Done::Abandon)
            }
            RelayEnd::Broken if self.may_resume(&mut relay) => {
                self.relay = Some(relay);
                self.held.outcome(Verdict::Reset, false);
                None
            }
            RelayEnd::Broken => {
                counters.broken.add();
                self.held.outcome(Verdict::Reset, true);
                client.wire.abort = relay.ends_with_connection();
                Some(Done::Abandon)
            }
        }
    }

    fn may_resume(&self, relay: &mut Relay) -> bool {
        relay.prepare_resume() && self.may_send() && Instant::now() < self.deadline
    }
}

/// Descriptors are used up in the system, says Linux.
const NO_DESCRIPTOR_IN_SYSTEM: i32 = 23;
/// Descriptors are used up in this process, says Linux.
const NO_DESCRIPTOR_HERE: i32 = 24;

/// Why an attempt's work ended early.
enum Interrupted {
    /// There is no connection.
    Connect(Verdict),
    /// The client has left.
    Left,
    /// The module wants something else.
    Order(Order),
}
