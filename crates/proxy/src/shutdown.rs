//! Runs the stages of a graceful shutdown: reads the clock, asks [`crate::lifecycle`] for the stage, and wakes the
//! tasks that wait for a change.

use std::cell::RefCell;
use std::time::Duration;

use futures_lite::future;
use tulipridge_runtime::clock;

use crate::bounds::ResourceUsage;
use crate::lifecycle::{Lifecycle, Stage};
use crate::notify::Notify;
use crate::timer_queue::TimerQueue;

/// The state of the shutdown, and the notification of each change of the stage.
#[derive(Default)]
pub struct Shutdown {
    lifecycle: RefCell<Lifecycle>,
    stage_changed: Notify,
}

impl Shutdown {
    /// Raised at each change of the stage.
    pub fn stage_changed(&self) -> &Notify {
        &self.stage_changed
    }

    /// Begins a graceful shutdown, as on SIGTERM; the platform kills the process after `grace_period`.
    pub fn begin(&self, grace_period: Duration) {
        self.lifecycle.borrow_mut().stop(clock::now(), grace_period);
        self.stage_changed.notify_all();
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.lifecycle.borrow().stage(clock::now())
    }

    /// Whether a request that may last for `time_left` from now on is still accepted.
    pub fn accepts_request(&self, time_left: Duration) -> bool {
        let now = clock::now();
        self.lifecycle.borrow().accepts_request(now, now + time_left)
    }

    /// Notifies the waiting tasks at each change of the stage. Returns once the process may end.
    pub async fn run(&self, timers: &TimerQueue, usage: &ResourceUsage) {
        loop {
            let now = clock::now();
            if self.lifecycle.borrow().may_end(now, usage.open_clients()) {
                return;
            }
            let next = self.lifecycle.borrow().next_stage_at(now);
            let change = async {
                match next {
                    Some(at) => timers.sleep(at.saturating_sub(now)).await,
                    None => self.stage_changed.changed().await,
                }
            };
            let client_closed = async {
                match next {
                    Some(_) => usage.client_closed.changed().await,
                    None => future::pending().await,
                }
            };
            future::or(change, client_closed).await;
            if next.is_some_and(|at| clock::now() >= at) {
                self.stage_changed.notify_all();
            }
        }
    }
}
