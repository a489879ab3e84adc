//! A connection of the feed, polled by the task at either end.

use std::future::poll_fn;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::Stream;
use tulipridge_runtime::clock;

use crate::signal::Signal;
use crate::wire::{ReceiveBuffer, Received, SendQueue};

/// Event for which a connection's task was woken.
pub(crate) enum Event {
    /// The peer has sent bytes or has closed its side.
    Received(Received),
    /// The connection has accepted bytes.
    Written,
    /// The signal at this index was raised.
    Signalled(usize),
    /// The timer has fired. The deadline may have been extended since, so the caller checks it again.
    Timer,
}

/// A connection with its buffers and one timer.
pub(crate) struct Link<'a> {
    stream: &'a Async<TcpStream>,
    pub(crate) receive_buffer: ReceiveBuffer,
    pub(crate) send_queue: SendQueue,
    timer: Timer,
    timer_deadline: Duration,
}

impl<'a> Link<'a> {
    pub(crate) fn new(stream: &'a Async<TcpStream>) -> Self {
        Link {
            stream,
            receive_buffer: ReceiveBuffer::default(),
            send_queue: SendQueue::default(),
            timer: Timer::never(),
            timer_deadline: Duration::MAX,
        }
    }

    /// Waits for the next event, and sends queued bytes in the meantime.
    ///
    /// # Errors
    /// The error of a failed read or write.
    pub(crate) async fn next_event(
        &mut self,
        signals: &[&Signal],
        deadline: Duration,
    ) -> io::Result<Event> {
        self.arm_timer(deadline);
        poll_fn(|context| self.poll_event(signals, context)).await
    }

    /// Sets the timer to an earlier deadline. For a later one it is left as it is, since the caller checks the deadline
    /// when the timer fires.
    fn arm_timer(&mut self, deadline: Duration) {
        if deadline < self.timer_deadline {
            self.timer.set_after(deadline.saturating_sub(clock::now()));
            self.timer_deadline = deadline;
        }
    }

    /// Polls reads before the timer, so that bytes which have already arrived count as received in time.
    fn poll_event(&mut self, signals: &[&Signal], context: &mut Context<'_>) -> Poll<io::Result<Event>> {
        if let Poll::Ready(received) = self.receive_buffer.poll_read(self.stream, context) {
            return Poll::Ready(received.map(Event::Received));
        }
        if let Poll::Ready(written) = self.send_queue.poll_send(self.stream, context) {
            return Poll::Ready(written.map(|()| Event::Written));
        }
        for (index, signal) in signals.iter().enumerate() {
            if signal.poll_raised(context).is_ready() {
                return Poll::Ready(Ok(Event::Signalled(index)));
            }
        }
        Pin::new(&mut self.timer).poll_next(context).map(|_| {
            self.timer_deadline = Duration::MAX;
            Ok(Event::Timer)
        })
    }
}
