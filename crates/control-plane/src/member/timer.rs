//! The timer of a member's loop, which can be brought forward.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use tulipridge_runtime::clock;

/// Longest time for which the loop sleeps: the disk's health is checked so often at least.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Sleeps until a deadline, which may become earlier meanwhile.
pub(super) struct DeadlineTimer {
    /// What the loop sleeps until.
    wake_time: Cell<Duration>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl DeadlineTimer {
    pub(super) fn new() -> DeadlineTimer {
        let (sender, receiver) = async_channel::bounded(1);
        DeadlineTimer { wake_time: Cell::new(Duration::ZERO), sender, receiver }
    }

    /// Sleeps until the deadline, which is read again each time when it was brought forward.
    pub(super) async fn sleep(&self, deadline: impl Fn() -> Duration) {
        loop {
            let now = clock::now();
            let wake_time = deadline().min(now + MAX_SLEEP);
            self.wake_time.set(wake_time);
            if wake_time <= now {
                return;
            }
            let timeout = async {
                Timer::after(wake_time - now).await;
                true
            };
            let brought_forward = async {
                let _ = self.receiver.recv().await;
                false
            };
            if future::or(timeout, brought_forward).await {
                return;
            }
        }
    }

    /// Has the deadline read again if this one is earlier.
    pub(super) fn bring_forward(&self, deadline: Duration) {
        if deadline < self.wake_time.get() {
            let _ = self.sender.try_send(());
        }
    }
}
