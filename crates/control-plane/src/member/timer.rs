//! The timer of a member's main loop, which can be brought forward.

use std::cell::Cell;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use tulipridge_runtime::clock;

/// Limit on a sleep, and thus on the interval between checks of the disk's health.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Sleeps until a deadline that can be brought forward during the sleep.
pub(super) struct DeadlineTimer {
    /// When the current sleep ends.
    wake_time: Cell<Duration>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl DeadlineTimer {
    pub(super) fn new() -> DeadlineTimer {
        let (sender, receiver) = async_channel::bounded(1);
        DeadlineTimer { wake_time: Cell::new(Duration::ZERO), sender, receiver }
    }

    /// Sleeps until the deadline, or for [`MAX_SLEEP`] if that is shorter. The deadline is reread each time it is
    /// brought forward.
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

    /// Interrupts the sleep to reread the deadline, if `deadline` is earlier than the time to wake up.
    pub(super) fn bring_forward(&self, deadline: Duration) {
        if deadline < self.wake_time.get() {
            let _ = self.sender.try_send(());
        }
    }
}
