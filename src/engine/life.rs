//! The life of one request, from its admission to its one final answer.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use futures_lite::{Stream, future};

use super::{Ask, Ending, Engine, Order};
use crate::types::{ReplicaId, Verdict};

/// What a scheduling yields: events, then one ending.
#[derive(Debug)]
pub enum Step<E> {
    /// An event of the answer's stream.
    Event(E),
    /// The real server holds the request itself for wrong, with this status: no other would take it.
    Rejected(u16),
    /// The end.
    Ended(Ending),
}

/// Those who run schedulings. Dropping a scheduling closes its connection.
pub trait Servers<E> {
    /// Starts a scheduling.
    fn schedule(&self, server: ReplicaId, timeout: Duration) -> Pin<Box<dyn Stream<Item = Step<E>>>>;
}

/// The client's side of a request. Each way to answer takes the client itself, so there is just one.
pub trait Client<E>: Sized {
    /// What a begun answer is written to.
    type Answer: Answer<E>;
    /// Returns once the client has left.
    fn gone(&mut self) -> impl Future<Output = ()>;
    /// Final answer: turned down.
    fn turn_down(self, wait: Duration) -> impl Future<Output = ()>;
    /// Final answer: the request itself is at fault.
    fn reject(self, status: u16, what: &'static str) -> impl Future<Output = ()>;
    /// Final answer: failed.
    fn fail(self) -> impl Future<Output = ()>;
    /// Begins the answer.
    fn begin(self) -> Self::Answer;
}

/// A begun answer; it is ended by `finish` or `break_off`, or by its client's leaving.
pub trait Answer<E>: Sized {
    /// Returns once the client has left.
    fn gone(&mut self) -> impl Future<Output = ()>;
    /// Passes an event on; false if the client has left.
    fn event(&mut self, event: E) -> impl Future<Output = bool>;
    /// The stream came to its proper end.
    fn finish(self) -> impl Future<Output = ()>;
    /// The stream broke.
    fn break_off(self, verdict: Verdict) -> impl Future<Output = ()>;
}

type Scheduling<E> = (u32, Pin<Box<dyn Stream<Item = Step<E>>>>);

enum Next<E> {
    Gone,
    Order(Order),
    Step(u32, Step<E>),
}

/// Serves one request: asks the module at each point of choice, and gives exactly one final answer.
pub async fn serve<E, C: Client<E>>(engine: &Engine, ask: &Ask, servers: &impl Servers<E>, mut client: C) {
    // Guards against a second request under the id of one that is open: neither real servers nor the module
    // could tell them apart, and the first would suffer.
    let Some(mut held) = engine.admit(ask) else {
        return client.reject(409, "a request with this id is open").await;
    };
    let mut out: Vec<Scheduling<E>> = Vec::new();

    // Until the first event: the module orders, schedulings end, the client may leave.
    let (number, event) = loop {
        let next = future::or(
            async { Next::Order(held.order().await) },
            future::or(
                async {
                    let (number, step) = any(&mut out).await;
                    Next::Step(number, step)
                },
                async {
                    client.gone().await;
                    Next::Gone
                },
            ),
        );
        match next.await {
            Next::Order(Order::Schedule { number, server, timeout }) => {
                out.push((number, servers.schedule(server, timeout)));
            }
            Next::Order(Order::Cancel(number)) => {
                out.retain(|(n, _)| *n != number);
                held.outcome(number, Verdict::Cancelled.into(), false);
            }
            Next::Order(Order::TurnDown(wait)) => {
                // Connections close before the answer is written, which may take a slow client's time.
                drop((out, held));
                return client.turn_down(wait).await;
            }
            Next::Order(Order::Fail) => {
                drop((out, held));
                return client.fail().await;
            }
            Next::Step(_, Step::Rejected(status)) => {
                drop((out, held));
                return client.reject(status, "a real server rejected the request").await;
            }
            Next::Step(number, Step::Ended(ending)) => {
                out.retain(|(n, _)| *n != number);
                held.outcome(number, ending, false);
            }
            Next::Step(number, Step::Event(event)) => break (number, event),
            Next::Gone => return,
        }
    };

    // From here on the request belongs to that scheduling; the module calls others off, where it may. Any that
    // go on beside it are heard to their end, but nothing of them reaches the client.
    held.first_event(number);
    while let Some(order) = held.order_now() {
        if let Order::Cancel(other) = order {
            out.retain(|(n, _)| *n != other);
            held.outcome(other, Verdict::Cancelled.into(), false);
        }
    }
    let mut answer = client.begin();
    let mut event = Some(event);
    loop {
        if let Some(event) = event.take()
            && !answer.event(event).await
        {
            return;
        }
        let next = future::or(
            async {
                let (n, step) = any(&mut out).await;
                // What has begun can't be rejected any more; of another copy it says nothing.
                let verdict = if n == number { Verdict::Error } else { Verdict::Moot };
                match step {
                    Step::Rejected(_) => Next::Step(n, Step::Ended(verdict.into())),
                    step => Next::Step(n, step),
                }
            },
            async {
                answer.gone().await;
                Next::Gone
            },
        );
        match next.await {
            Next::Step(n, Step::Event(next)) => event = (n == number).then_some(next),
            Next::Step(other, Step::Ended(ending)) if other != number => {
                out.retain(|(n, _)| *n != other);
                held.outcome(other, ending, false);
            }
            Next::Step(_, Step::Ended(ending)) => {
                let verdict = ending.verdict;
                held.outcome(number, ending, true);
                drop((out, held));
                return match verdict {
                    Verdict::Ok => answer.finish().await,
                    _ => answer.break_off(verdict).await,
                };
            }
            _ => return,
        }
    }
}

/// The next step of whichever scheduling has one.
async fn any<E>(out: &mut [Scheduling<E>]) -> (u32, Step<E>) {
    future::poll_fn(|cx| {
        for (number, steps) in out.iter_mut() {
            if let Poll::Ready(Some(step)) = steps.as_mut().poll_next(cx) {
                return Poll::Ready((*number, step));
            }
        }
        Poll::Pending
    })
    .await
}
