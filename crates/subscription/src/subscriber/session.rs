//! One connection to a publisher.

use std::convert::Infallible;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use snafu::{ResultExt, ensure};
use tulipridge_protocol::feed::{ToPublisher, ToSubscriber};
use tulipridge_runtime::clock;

use super::{
    ClosedSnafu, EndReason, FailedSnafu, MalformedSnafu, NotFreshSnafu, ReselectedSnafu, SilentSnafu,
    Subscriber, UpdateSnafu,
};
use crate::link::{Event, Link};
use crate::store::{Changed, Pong};
use crate::wire::Received;

/// Time between pings.
const PING_EVERY: Duration = Duration::from_millis(300);
/// A publisher that has neither answered nor sent a part of an update for this long is left.
const SILENCE: Duration = Duration::from_millis(900);
/// A publisher that still sends a long update but has not answered for this long is left.
const LONGEST_TRANSFER: Duration = Duration::from_secs(10);

/// Least time from one message of work that waits to the next.
const WAITING_EVERY: Duration = Duration::from_millis(20);

/// Follows a publisher until the connection ends. `failures` goes to 0 once it answers with freshness.
pub(super) async fn run(
    subscriber: &Subscriber,
    stream: &Async<TcpStream>,
    failures: &mut u32,
) -> EndReason {
    let mut session = Session::new(subscriber, stream, failures);
    match session.run().await {
        Ok(never) => match never {},
        Err(reason) => reason,
    }
}

struct Session<'a> {
    subscriber: &'a Subscriber,
    link: Link<'a>,
    failures: &'a mut u32,
    ping_at: Duration,
    /// When the publisher answered last, or the connection was made.
    answered: Duration,
    /// When bytes came last, or the connection was made.
    received: Duration,
    /// Since when its answers carry no freshness.
    unfresh_since: Option<Duration>,
    /// Whether the publisher knows of work that waits; it has sent a table of loads then.
    takes_waiting: bool,
    /// Work that waits has changed since it was told.
    has_waiting: bool,
    /// From when on it may be told again.
    waiting_at: Duration,
}

impl<'a> Session<'a> {
    fn new(subscriber: &'a Subscriber, stream: &'a Async<TcpStream>, failures: &'a mut u32) -> Self {
        let now = clock::now();
        Session {
            subscriber,
            link: Link::new(stream),
            failures,
            ping_at: now,
            answered: now,
            received: now,
            unfresh_since: None,
            takes_waiting: false,
            has_waiting: true,
            waiting_at: now,
        }
    }

    async fn run(&mut self) -> Result<Infallible, EndReason> {
        let subscribe = ToPublisher::Subscribe(self.subscriber.subscribe());
        self.link.outgoing.push_message(&subscribe).context(MalformedSnafu)?;
        self.ping()?;
        loop {
            self.ping_when_due()?;
            self.tell_waiting_when_due()?;
            let deadline = self.ping_at.min(self.silent_at()).min(self.tell_waiting_at());
            let signals = [&self.subscriber.reselect, &self.subscriber.waiting_changed];
            match self.link.next_event(&signals, deadline).await.context(FailedSnafu)? {
                Event::Received(Received::End) => return ClosedSnafu.fail(),
                Event::Received(Received::Bytes) => self.read_messages()?,
                Event::Written => {}
                Event::Signalled(0) => return ReselectedSnafu.fail(),
                Event::Signalled(_) => self.has_waiting = true,
                Event::Timer => self.check_deadline()?,
            }
        }
    }

    /// Pings are not queued behind each other on a connection that takes no bytes.
    fn ping_when_due(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        if now < self.ping_at {
            return Ok(());
        }
        if !self.link.outgoing.is_empty() {
            self.ping_at = now + PING_EVERY;
            return Ok(());
        }
        self.ping()
    }

    fn ping(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        self.ping_at = now + PING_EVERY;
        let id = self.subscriber.next_ping.replace(self.subscriber.next_ping.get() + 1);
        self.subscriber.freshness.borrow_mut().sent(id, now);
        let ping = ToPublisher::Ping { id, gateways: self.subscriber.gateways.get() };
        self.link.outgoing.push_message(&ping).context(MalformedSnafu)
    }

    /// What is not told yet is told later as it is then.
    fn tell_waiting_when_due(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        if now < self.tell_waiting_at() {
            return Ok(());
        }
        self.waiting_at = now + WAITING_EVERY;
        if !self.link.outgoing.is_empty() {
            return Ok(());
        }
        self.has_waiting = false;
        let waiting = ToPublisher::Waiting(self.subscriber.waiting.borrow().clone());
        self.link.outgoing.push_message(&waiting).context(MalformedSnafu)
    }

    fn tell_waiting_at(&self) -> Duration {
        if self.takes_waiting && self.has_waiting { self.waiting_at } else { Duration::MAX }
    }

    /// Applies all messages that are whole; the listeners are told once, also where one of them fails.
    fn read_messages(&mut self) -> Result<(), EndReason> {
        let mut changed = Changed::default();
        let outcome = self.apply_messages(&mut changed);
        self.received = clock::now();
        self.subscriber.announce(&changed);
        outcome
    }

    fn apply_messages(&mut self, changed: &mut Changed) -> Result<(), EndReason> {
        while let Some(message) = self.link.incoming.take::<ToSubscriber>().context(MalformedSnafu)? {
            let news = self.subscriber.store.borrow_mut().apply(message).context(UpdateSnafu)?;
            changed.merge(news);
            self.takes_waiting |= news.loads;
            if let Some(pong) = news.pong {
                self.take_pong(pong)?;
            }
        }
        Ok(())
    }

    fn take_pong(&mut self, pong: Pong) -> Result<(), EndReason> {
        let now = clock::now();
        self.answered = now;
        self.subscriber.freshness.borrow_mut().answered(pong.id, pong.age, now);
        let tolerance = self.subscriber.tolerance;
        if pong.age.is_some_and(|age| age < tolerance.age) {
            self.unfresh_since = None;
            *self.failures = 0;
            return Ok(());
        }
        let since = *self.unfresh_since.get_or_insert(now);
        ensure!(now.saturating_sub(since) < tolerance.time, NotFreshSnafu);
        Ok(())
    }

    fn check_deadline(&self) -> Result<(), EndReason> {
        ensure!(clock::now() < self.silent_at(), SilentSnafu);
        Ok(())
    }

    fn silent_at(&self) -> Duration {
        let transfer_ends = self.answered + LONGEST_TRANSFER;
        (self.received.max(self.answered) + SILENCE).min(transfer_ends)
    }
}
