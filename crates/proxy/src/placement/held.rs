//! A request that the decision module holds: orders come out of it, events go into it.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future;
use tulipridge_load_balancer::types::{Nanos, ReplicaId, RequestId, Verdict};
use tulipridge_runtime::clock;

use crate::placement::{Ask, Order, Placement};

/// A client that leaves so shortly before its deadline has waited for all of its time.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// The module's clock.
#[must_use]
pub fn now() -> Nanos {
    clock::now().as_nanos() as Nanos
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    attempt: u32,
    since: Instant,
    written: bool,
}

/// A request that is held. When it is dropped, the module learns that the request is over and that what was still
/// out was called off.
pub struct Held {
    placement: Rc<RefCell<Placement>>,
    id: RequestId,
    deadline: Instant,
    out: Option<Out>,
}

impl Held {
    /// Places a request that expires at `deadline`; none if its service is not known.
    pub fn place(
        placement: &Rc<RefCell<Placement>>,
        service: &str,
        deadline: Instant,
        ask: Ask,
    ) -> Option<Held> {
        let id = placement.borrow_mut().request(now(), service, ask)?;
        Some(Held { placement: placement.clone(), id, deadline, out: None })
    }

    /// The module's next order.
    pub fn poll_order(&self, context: &mut Context<'_>) -> Poll<Order> {
        self.placement.borrow_mut().poll_order(self.id, context)
    }

    /// An attempt was ordered and begins.
    pub fn begin(&mut self, attempt: u32) {
        self.out = Some(Out { attempt, since: Instant::now(), written: false });
    }

    /// The attempt's bytes go out: from now on it may run, and the replica has so much to do for it.
    pub fn written(&mut self, replica: &ReplicaId, work: u32) {
        self.placement.borrow_mut().sent(now(), self.id, replica, work);
        if let Some(out) = &mut self.out {
            out.written = true;
        }
    }

    /// Whether the attempt that is out may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.out.is_some_and(|out| out.written)
    }

    /// The attempt's answer has begun.
    pub fn first_token(&mut self) {
        let Some(Out { attempt, since, .. }) = self.out else { return };
        self.placement.borrow_mut().first_token(now(), self.id, attempt, since.elapsed());
    }

    /// The attempt has ended, and with it the request if `ended`.
    pub fn outcome(&mut self, verdict: Verdict, ended: bool) {
        let Some(Out { attempt, since, .. }) = self.out.take() else { return };
        let end = (attempt, verdict, since.elapsed());
        self.placement.borrow_mut().outcome(now(), self.id, end, ended);
    }

    /// The attempt was called off here.
    pub fn call_off(&mut self, ended: bool) {
        let waited = Instant::now() + DEADLINE_SLACK >= self.deadline;
        let verdict = match self.may_have_run() {
            false => Verdict::Moot,
            true if waited => Verdict::TimedOut,
            true => Verdict::Cancelled,
        };
        self.outcome(verdict, ended);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.call_off(true);
        self.placement.borrow_mut().end(now(), self.id);
    }
}

/// Hands timers to the modules as they come due, for ever.
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
