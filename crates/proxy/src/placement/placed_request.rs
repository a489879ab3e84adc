//! A placed request: receives actions from its load balancer and reports events to it. Also the timer task.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future;
use tulipridge_load_balancer::types::{Nanos, ReplicaId, RequestId, Verdict};
use tulipridge_runtime::clock;

use crate::placement::{AttemptOutcome, Placement, PlacementRequest, RequestAction};

/// A request that is cancelled this shortly before its deadline counts as timed out.
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

/// A placed request. Dropping it ends the request at the load balancer and cancels an attempt that is
/// in flight.
pub struct PlacedRequest {
    placement: Rc<RefCell<Placement>>,
    id: RequestId,
    deadline: Instant,
    in_flight: Option<InFlight>,
}

impl PlacedRequest {
    /// Places a request that expires at `deadline`; none if its service has no load balancer.
    pub fn place(
        placement: &Rc<RefCell<Placement>>,
        service: &str,
        deadline: Instant,
        request: PlacementRequest,
    ) -> Option<PlacedRequest> {
        let id = placement.borrow_mut().place(now(), service, request)?;
        Some(PlacedRequest { placement: placement.clone(), id, deadline, in_flight: None })
    }

    /// The next action of the load balancer.
    pub fn poll_action(&self, context: &mut Context<'_>) -> Poll<RequestAction> {
        self.placement.borrow_mut().poll_action(self.id, context)
    }

    /// Begins an attempt.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.in_flight = Some(InFlight { attempt, began_at: Instant::now(), is_written: false });
    }

    /// Records that the attempt is being written: from now on it may run, and counts as `work` units at the replica.
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

    /// Records that the response to the attempt has begun.
    pub fn record_first_token(&mut self) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight else { return };
        self.placement.borrow_mut().record_first_token(now(), self.id, attempt, began_at.elapsed());
    }

    /// Ends the attempt, and with it the request if `ends_request`.
    pub fn end_attempt(&mut self, verdict: Verdict, ends_request: bool) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight.take() else { return };
        let outcome = AttemptOutcome { attempt, verdict, elapsed: began_at.elapsed(), ends_request };
        self.placement.borrow_mut().record_outcome(now(), self.id, outcome);
    }

    /// Ends the attempt as cancelled by the proxy.
    pub fn cancel_attempt(&mut self, ends_request: bool) {
        let has_timed_out = Instant::now() + DEADLINE_SLACK >= self.deadline;
        let verdict = match self.may_have_run() {
            false => Verdict::NotSent,
            true if has_timed_out => Verdict::TimedOut,
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
