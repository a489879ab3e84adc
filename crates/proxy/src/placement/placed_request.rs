//! A request that a load balancer places: orders come out of it, events go into it. Also the task that runs timers.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future;
use tulipridge_load_balancer::types::{Nanos, ReplicaId, RequestId, Verdict};
use tulipridge_runtime::clock;

use crate::placement::{AttemptOutcome, Placement, PlacementRequest, RequestAction};

/// A client that leaves so shortly before its deadline has waited for all of its time.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// The load balancers' clock.
#[must_use]
pub fn now() -> Nanos {
    clock::now().as_nanos() as Nanos
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    attempt: u32,
    began_at: Instant,
    is_written: bool,
}

/// A request that is placed. When it is dropped, the load balancer learns that the request is over and that an attempt
/// in flight was cancelled.
pub struct PlacedRequest {
    placement: Rc<RefCell<Placement>>,
    id: RequestId,
    deadline: Instant,
    in_flight: Option<InFlight>,
}

impl PlacedRequest {
    /// Places a request that expires at `deadline`; none if its service is not known.
    pub fn place(
        placement: &Rc<RefCell<Placement>>,
        service: &str,
        deadline: Instant,
        request: PlacementRequest,
    ) -> Option<PlacedRequest> {
        let id = placement.borrow_mut().place(now(), service, request)?;
        Some(PlacedRequest { placement: placement.clone(), id, deadline, in_flight: None })
    }

    /// The load balancer's next order.
    pub fn poll_action(&self, context: &mut Context<'_>) -> Poll<RequestAction> {
        self.placement.borrow_mut().poll_action(self.id, context)
    }

    /// An attempt was ordered and begins.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.in_flight = Some(InFlight { attempt, began_at: Instant::now(), is_written: false });
    }

    /// The attempt's bytes go out: from now on it may run, and the replica has so much work to do for it.
    pub fn record_send(&mut self, replica: &ReplicaId, work: u32) {
        self.placement.borrow_mut().record_send(now(), self.id, replica, work);
        if let Some(attempt) = &mut self.in_flight {
            attempt.is_written = true;
        }
    }

    /// Whether the attempt in flight may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.in_flight.is_some_and(|attempt| attempt.is_written)
    }

    /// The response to the attempt has begun.
    pub fn record_first_token(&mut self) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight else { return };
        self.placement.borrow_mut().record_first_token(now(), self.id, attempt, began_at.elapsed());
    }

    /// The attempt has ended, and with it the request if `ends_request`.
    pub fn end_attempt(&mut self, verdict: Verdict, ends_request: bool) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight.take() else { return };
        let outcome = AttemptOutcome { attempt, verdict, elapsed: began_at.elapsed(), ends_request };
        self.placement.borrow_mut().record_outcome(now(), self.id, outcome);
    }

    /// The attempt was cancelled here.
    pub fn cancel_attempt(&mut self, ends_request: bool) {
        let waited = Instant::now() + DEADLINE_SLACK >= self.deadline;
        let verdict = match self.may_have_run() {
            false => Verdict::NotSent,
            true if waited => Verdict::TimedOut,
            true => Verdict::Cancelled,
        };
        self.end_attempt(verdict, ends_request);
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.cancel_attempt(true);
        self.placement.borrow_mut().end_request(now(), self.id);
    }
}

/// Runs the load balancers' timers as they come due; never returns.
pub async fn run_timers(placement: Rc<RefCell<Placement>>, alarms: crate::alarms::Alarms) {
    loop {
        placement.borrow_mut().run_timers(now());
        let next = placement.borrow().next_timer();
        let due = async {
            match next {
                Some(due) => alarms.after(Duration::from_nanos(due.saturating_sub(now()))).await,
                None => future::pending().await,
            }
        };
        let earlier = future::poll_fn(|context| placement.borrow_mut().poll_earlier_timer(next, context));
        future::or(due, earlier).await;
    }
}
