//! Timeouts that share one reactor timer.
//!
//! A reactor timer costs system calls when it is set and a wake-up when it fires. Most timeouts of a proxy never
//! fire, so they are entries of an ordered table, rounded up to ticks, and one task sleeps until the first of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// The resolution: timeouts within the same tick fire together.
const TICK: Duration = Duration::from_millis(10);

/// The tick at which an entry is due, and a number that is unique to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    tick: u64,
    number: u64,
}

#[derive(Default)]
struct Table {
    entries: BTreeMap<Key, Waker>,
    last_number: u64,
    /// The tick that the driver sleeps until; None while it sleeps without a limit.
    sleeps_until: Option<u64>,
    driver: Option<Waker>,
}

/// The table of timeouts; clones share it.
#[derive(Clone)]
pub struct TimerQueue {
    start: Instant,
    table: Rc<RefCell<Table>>,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue { start: Instant::now(), table: Rc::default() }
    }
}

impl TimerQueue {
    /// A future that is ready at the time `due`.
    #[must_use]
    pub fn sleep_until(&self, due: Instant) -> Sleep {
        let since_start = due.saturating_duration_since(self.start);
        let tick = since_start.as_nanos().div_ceil(TICK.as_nanos()) as u64;
        Sleep { timers: self.clone(), tick, number: None }
    }

    /// A future that is ready after the duration `time`.
    #[must_use]
    pub fn sleep(&self, time: Duration) -> Sleep {
        self.sleep_until(Instant::now() + time)
    }

    /// Runs `work` until the time `due`. Returns its output, or None if it is not ready by then; `work` is then
    /// dropped.
    pub async fn timeout_at<T>(&self, due: Instant, work: impl Future<Output = T>) -> Option<T> {
        future::or(async { Some(work.await) }, async {
            self.sleep_until(due).await;
            None
        })
        .await
    }

    /// Wakes the tasks whose timeouts are due; never returns. Exactly one task must run this.
    pub async fn drive(&self) {
        loop {
            self.wake_due();
            let until = self.first_tick();
            self.table.borrow_mut().sleeps_until = until;
            let sleep = async {
                match until {
                    Some(tick) => drop(Timer::at(self.instant_of(tick)).await),
                    None => future::pending().await,
                }
            };
            future::or(sleep, self.earlier_entry_added(until)).await;
        }
    }

    fn instant_of(&self, tick: u64) -> Instant {
        self.start + Duration::from_nanos(tick.saturating_mul(TICK.as_nanos() as u64))
    }

    fn current_tick(&self) -> u64 {
        (self.start.elapsed().as_nanos() / TICK.as_nanos()) as u64
    }

    fn first_tick(&self) -> Option<u64> {
        self.table.borrow().entries.first_key_value().map(|(key, _)| key.tick)
    }

    fn wake_due(&self) {
        let now = self.current_tick();
        let due = {
            let mut table = self.table.borrow_mut();
            let later = table.entries.split_off(&Key { tick: now + 1, number: 0 });
            std::mem::replace(&mut table.entries, later)
        };
        due.into_values().for_each(Waker::wake);
    }

    /// Ready once an entry is due before the tick `slept_until`, or at all if the driver sleeps without a limit.
    async fn earlier_entry_added(&self, slept_until: Option<u64>) {
        future::poll_fn(|context| {
            let mut table = self.table.borrow_mut();
            let first = table.entries.first_key_value().map(|(key, _)| key.tick);
            if first.is_some_and(|first| slept_until.is_none_or(|tick| first < tick)) {
                return Poll::Ready(());
            }
            table.driver = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// A timeout: a future that is ready once its time has passed. Dropping it removes its entry from the table.
pub struct Sleep {
    timers: TimerQueue,
    tick: u64,
    number: Option<u64>,
}

impl Sleep {
    /// Ready once the timeout has passed. For use inside a poll function that polls other futures as well; unlike
    /// [`Future::poll`], it needs no pin.
    pub fn poll_passed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(self).poll(context)
    }

    fn remove(&mut self) {
        if let Some(number) = self.number.take() {
            self.timers.table.borrow_mut().entries.remove(&Key { tick: self.tick, number });
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.timers.current_tick() >= self.tick {
            self.remove();
            return Poll::Ready(());
        }
        let this = &mut *self;
        let mut table = this.timers.table.borrow_mut();
        let number = *this.number.get_or_insert_with(|| {
            table.last_number += 1;
            table.last_number
        });
        let key = Key { tick: this.tick, number };
        match table.entries.get_mut(&key) {
            Some(waker) => waker.clone_from(context.waker()),
            None => drop(table.entries.insert(key, context.waker().clone())),
        }
        if table.sleeps_until.is_none_or(|tick| this.tick < tick) {
            if let Some(driver) = table.driver.take() {
                driver.wake();
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.remove();
    }
}
