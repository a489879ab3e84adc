//! One connection to a publisher, from the subscription to the end of the connection.

use std::convert::Infallible;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use snafu::ResultExt;
use tulipridge_protocol::feed::{ToPublisher, ToSubscriber};
use tulipridge_runtime::clock;

use super::Subscriber;
use super::end::{ClosedSnafu, EndReason, FailedSnafu, MalformedSnafu, ReselectedSnafu, UpdateSnafu};
use super::liveness::PublisherLiveness;
use super::report_schedule::ReportSchedule;
use crate::link::{Event, Link};
use crate::store::{Pong, StateChanges};
use crate::wire::Received;

/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Index of the [`Subscriber`]'s reselect signal among the signals that a session waits for.
const RESELECT_SIGNAL_INDEX: usize = 0;

/// Subscribes to a publisher and applies its messages until the connection ends. A fresh pong resets `failure_count`.
pub(super) async fn run(
    subscriber: &Subscriber,
    stream: &Async<TcpStream>,
    failure_count: &mut u32,
) -> EndReason {
    let mut session = Session::new(subscriber, stream, failure_count);
    match session.run().await {
        Ok(never) => match never {},
        Err(reason) => reason,
    }
}

struct Session<'a> {
    subscriber: &'a Subscriber,
    link: Link<'a>,
    failure_count: &'a mut u32,
    next_ping_at: Duration,
    liveness: PublisherLiveness,
    report_schedule: ReportSchedule,
}

impl<'a> Session<'a> {
    fn new(subscriber: &'a Subscriber, stream: &'a Async<TcpStream>, failure_count: &'a mut u32) -> Self {
        let now = clock::now();
        Session {
            subscriber,
            link: Link::new(stream),
            failure_count,
            next_ping_at: now,
            liveness: PublisherLiveness::new(subscriber.tolerance, now),
            report_schedule: ReportSchedule::new(now),
        }
    }

    async fn run(&mut self) -> Result<Infallible, EndReason> {
        let subscribe = ToPublisher::Subscribe(self.subscriber.subscribe_message());
        self.link.send_queue.push_message(&subscribe).context(MalformedSnafu)?;
        self.send_ping()?;
        loop {
            self.send_ping_if_due()?;
            self.report_queued_work_if_due()?;
            let deadline = self.deadline();
            let signals = [&self.subscriber.reselect_signal, &self.subscriber.queued_work_changed];
            match self.link.next_event(&signals, deadline).await.context(FailedSnafu)? {
                Event::Received(Received::EndOfStream) => return ClosedSnafu.fail(),
                Event::Received(Received::Bytes) => self.read_messages()?,
                Event::Written => {}
                Event::Signalled(RESELECT_SIGNAL_INDEX) => return ReselectedSnafu.fail(),
                Event::Signalled(_) => self.report_schedule.set_outdated(),
                Event::Timer => self.liveness.check_deadline(clock::now())?,
            }
        }
    }

    fn deadline(&self) -> Duration {
        self.next_ping_at.min(self.liveness.deadline()).min(self.report_schedule.due_at())
    }

    /// Sends a ping if one is due, unless earlier bytes are still unsent: pings must not queue up on a connection that
    /// accepts no bytes.
    fn send_ping_if_due(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        if now < self.next_ping_at {
            return Ok(());
        }
        if !self.link.send_queue.is_empty() {
            self.next_ping_at = now + PING_INTERVAL;
            return Ok(());
        }
        self.send_ping()
    }

    fn send_ping(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        self.next_ping_at = now + PING_INTERVAL;
        let id = self.subscriber.next_ping_id.replace(self.subscriber.next_ping_id.get() + 1);
        self.subscriber.freshness.borrow_mut().record_ping(id, now);
        let ping = ToPublisher::Ping { id, gateways: self.subscriber.gateway_count.get() };
        self.link.send_queue.push_message(&ping).context(MalformedSnafu)
    }

    /// Reports queued work if a report is due. While earlier bytes are unsent, the report is delayed and then contains
    /// the work queued at that time.
    fn report_queued_work_if_due(&mut self) -> Result<(), EndReason> {
        let now = clock::now();
        if now < self.report_schedule.due_at() {
            return Ok(());
        }
        self.report_schedule.postpone(now);
        if !self.link.send_queue.is_empty() {
            return Ok(());
        }
        self.report_schedule.set_reported();
        let report = ToPublisher::QueuedWork(self.subscriber.queued_work.borrow().clone());
        self.link.send_queue.push_message(&report).context(MalformedSnafu)
    }

    /// Applies all complete messages. Calls the listeners once, even if one of the messages fails.
    fn read_messages(&mut self) -> Result<(), EndReason> {
        let mut changes = StateChanges::default();
        let outcome = self.apply_messages(&mut changes);
        self.liveness.record_bytes(clock::now());
        self.subscriber.notify_listeners(&changes);
        outcome
    }

    fn apply_messages(&mut self, changes: &mut StateChanges) -> Result<(), EndReason> {
        while let Some(message) =
            self.link.receive_buffer.next_message::<ToSubscriber>().context(MalformedSnafu)?
        {
            let applied = self.subscriber.store.borrow_mut().apply(message).context(UpdateSnafu)?;
            changes.merge(applied);
            if applied.loads {
                self.report_schedule.set_supported();
            }
            if let Some(pong) = applied.pong {
                self.handle_pong(pong)?;
            }
        }
        Ok(())
    }

    fn handle_pong(&mut self, pong: Pong) -> Result<(), EndReason> {
        let now = clock::now();
        self.subscriber.freshness.borrow_mut().record_pong(pong.id, pong.state_age, now);
        let is_fresh = self.liveness.record_pong(pong.state_age, now)?;
        if is_fresh {
            *self.failure_count = 0;
        }
        Ok(())
    }
}
