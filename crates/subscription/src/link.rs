//! A connection of the feed, as the task at either end waits for it.

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
use crate::wire::{Incoming, Outgoing, Received};

/// What a connection's task was woken for.
pub(crate) enum Event {
    /// The peer has said something, or has closed its side.
    Received(Received),
    /// The connection took bytes.
    Written,
    /// The signal at this place was raised.
    Signalled(usize),
    /// The deadline may have come; one that has moved away meanwhile has not.
    Timer,
}

/// A connection with what has come in and what waits to be written, and one timer.
pub(crate) struct Link<'a> {
    stream: &'a Async<TcpStream>,
    pub(crate) incoming: Incoming,
    pub(crate) outgoing: Outgoing,
    timer: Timer,
    timer_at: Duration,
}

impl<'a> Link<'a> {
    pub(crate) fn new(stream: &'a Async<TcpStream>) -> Self {
        Link {
            stream,
            incoming: Incoming::default(),
            outgoing: Outgoing::default(),
            timer: Timer::never(),
            timer_at: Duration::MAX,
        }
    }

    /// Waits for the next event, and writes meanwhile.
    pub(crate) async fn next_event(
        &mut self,
        signals: &[&Signal],
        deadline: Duration,
    ) -> io::Result<Event> {
        self.arm_timer(deadline);
        poll_fn(|context| self.poll_event(signals, context)).await
    }

    /// A deadline that has moved away leaves the timer, since its owner looks again when it is due.
    fn arm_timer(&mut self, deadline: Duration) {
        if deadline < self.timer_at {
            self.timer.set_after(deadline.saturating_sub(clock::now()));
            self.timer_at = deadline;
        }
    }

    /// What the peer says goes before the timer, so that bytes which have waited count as said in time.
    fn poll_event(&mut self, signals: &[&Signal], context: &mut Context<'_>) -> Poll<io::Result<Event>> {
        if let Poll::Ready(received) = self.incoming.poll_fill(self.stream, context) {
            return Poll::Ready(received.map(Event::Received));
        }
        if let Poll::Ready(written) = self.outgoing.poll_write(self.stream, context) {
            return Poll::Ready(written.map(|()| Event::Written));
        }
        for (place, signal) in signals.iter().enumerate() {
            if signal.poll_raised(context).is_ready() {
                return Poll::Ready(Ok(Event::Signalled(place)));
            }
        }
        Pin::new(&mut self.timer).poll_next(context).map(|_| {
            self.timer_at = Duration::MAX;
            Ok(Event::Timer)
        })
    }
}
