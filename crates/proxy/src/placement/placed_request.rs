//! A placed request, which receives actions from the load balancer and reports events to it; and the task that runs the
//! load balancers' timers.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future;
use tulipridge_load_balancer::types::{Nanos, ReplicaId, RequestId, Verdict};
use tulipridge_runtime::clock;

use crate::placement::{AttemptReport, Placement, PlacementRequest, RequestAction};
use crate::timer_queue::TimerQueue;

/// An attempt that is cancelled less than this before the deadline counts as timed out.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// The current time on the clock that the load balancers use.
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

/// A placed request. Dropping it cancels the attempt in flight, if there is one, and ends the request at the load
/// balancer.
pub struct PlacedRequest {
    placement: Rc<RefCell<Placement>>,
    id: RequestId,
    deadline: Instant,
    in_flight: Option<InFlight>,
}

impl PlacedRequest {
    /// Places a request that expires at `deadline`. None if the service is unknown or never had replicas, see
    /// [`Placement::place`].
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

    /// Records that the attempt in flight is written to the replica now: the request may run from now on, and counts as
    /// `work` units of work there.
    pub fn record_send(&mut self, replica: &ReplicaId, work: u32) {
        self.placement.borrow_mut().record_send(now(), self.id, replica, work);
        if let Some(attempt) = &mut self.in_flight {
            attempt.is_written = true;
        }
    }

    /// Whether the attempt in flight may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.in_flight.is_some_and(|attempt| attempt.is_written)
    }

    /// Records that the response to the attempt in flight has begun.
    pub fn record_first_token(&mut self) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight else { return };
        self.placement.borrow_mut().record_first_token(now(), self.id, attempt, began_at.elapsed());
    }

    /// Ends the attempt in flight, if there is one. `ends_request` states that the request ends with it.
    pub fn end_attempt(&mut self, verdict: Verdict, ends_request: bool) {
        let Some(InFlight { attempt, began_at, .. }) = self.in_flight.take() else { return };
        let report = AttemptReport { attempt, verdict, elapsed: began_at.elapsed(), ends_request };
        self.placement.borrow_mut().record_outcome(now(), self.id, report);
    }

    /// Ends the attempt in flight, which the proxy cancels. The verdict depends on whether the attempt may have run and
    /// on whether the deadline has passed.
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

/// Runs the timers of the load balancers when they are due; never returns.
pub async fn run_timers(placement: Rc<RefCell<Placement>>, timers: TimerQueue) {
    loop {
        placement.borrow_mut().run_timers(now());
        let next = placement.borrow().next_timer();
        let due = async {
            match next {
                Some(due) => timers.sleep(Duration::from_nanos(due.saturating_sub(now()))).await,
                None => future::pending().await,
            }
        };
        let earlier = future::poll_fn(|context| placement.borrow_mut().poll_earlier_timer(next, context));
        future::or(due, earlier).await;
    }
}
