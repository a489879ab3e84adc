//! The life of one request, from the moment that it was read whole to its one final answer.

mod answers;
mod attempts;
mod request_head;

use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_lite::future;

use crate::admission::Admitted;
use crate::client::{Client, Done, Incoming, write_own};
use crate::headers::OwnAnswer;
use crate::placement::placed_request::PlacedRequest;
use crate::placement::prompt::PromptHeaders;
use crate::placement::{self, Order, PlacementRequest};
use crate::proxy::Proxy;
use crate::relay::Relay;
use crate::replica::attempt::{Answer, Failure};
use crate::replica::outcome::{self, Known, LastAnswer, RequestKind};

/// What a client is told while nothing can be judged or placed.
const RETRY_SOON: Duration = Duration::from_millis(500);
/// What a client is told whose request the newest configuration has handled otherwise, or which another gateway
/// can serve.
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
    let deadline = deadline(incoming, &admitted);
    if !proxy.takes_request(deadline.saturating_duration_since(Instant::now())) {
        proxy.counters.refused.add();
        return write_own(proxy, client, incoming, OwnAnswer::refusal(RETRY_AT_ONCE)).await;
    }
    match Exchange::place(proxy, incoming, admitted, deadline) {
        Some(exchange) => exchange.run(client).await,
        None => {
            proxy.counters.refused.add();
            write_own(proxy, client, incoming, OwnAnswer::refusal(RETRY_SOON)).await
        }
    }
}

/// When a request is over, by what its client says and by its route.
fn deadline(incoming: &Incoming, admitted: &Admitted) -> Instant {
    let limit = Duration::from_millis(admitted.route().time_limit_ms);
    incoming.started + incoming.time_left().map_or(limit, |left| left.min(limit))
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
    prompt: PromptHeaders,
    held: PlacedRequest,
    deadline: Instant,
    /// Replicas that the request was written to.
    sends: u32,
    /// What is known after all sends so far.
    known: Known,
    /// A failure of a replica that the client gets if nobody does better.
    failure: Option<Box<Failure>>,
    /// The answer that the client has been passed a part of.
    relay: Option<Relay>,
}

impl<'a> Exchange<'a> {
    fn place(
        proxy: &'a Rc<Proxy>,
        incoming: &'a Incoming,
        admitted: Admitted,
        deadline: Instant,
    ) -> Option<Exchange<'a>> {
        let prompt = PromptHeaders::read(&incoming.head);
        let request = PlacementRequest {
            class: proxy.placement.borrow().class(&admitted.route().label)?,
            expires_in: deadline.saturating_duration_since(Instant::now()),
            prompt: prompt.prompt,
        };
        let held = PlacedRequest::place(&proxy.placement, admitted.service(), deadline, request)?;
        Some(Exchange {
            proxy,
            incoming,
            admitted,
            prompt,
            held,
            deadline,
            sends: 0,
            known: Known::NotRun,
            failure: None,
            relay: None,
        })
    }

    async fn run(mut self, mut client: Client<'_>) -> Done {
        loop {
            let step = match self.next(&mut client).await {
                Next::ClientLeft => Step::Answer(Final::None),
                Next::NobodyFree => Step::Answer(self.declined(RETRY_SOON)),
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
        let longest = placement::target(self.admitted.route()) / IDLE_PART;
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
            Order::Refuse(wait) => Step::Answer(self.declined(wait)),
            Order::Fail => Step::Answer(Final::Own(self.failed(RETRY_SOON))),
        }
    }

    /// How the request may be repeated.
    fn kind(&self) -> RequestKind {
        RequestKind::of(self.admitted.route())
    }

    /// The last word on a request for which nobody is to be asked any more.
    fn declined(&self, wait: Duration) -> Final {
        Final::Own(self.last_answer(true, wait))
    }

    /// The last word on a request that has failed.
    fn failed(&self, wait: Duration) -> OwnAnswer {
        self.last_answer(false, wait)
    }

    fn last_answer(&self, has_given_up: bool, wait: Duration) -> OwnAnswer {
        let is_late = Instant::now() >= self.deadline;
        match outcome::last_answer(self.kind(), self.known, is_late, has_given_up) {
            LastAnswer::Refusal => OwnAnswer::refusal(wait),
            LastAnswer::BadGateway => OwnAnswer::plain(502),
            LastAnswer::GatewayTimeout => OwnAnswer::plain(504),
        }
    }
}
