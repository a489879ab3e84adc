//! The task that serves one subscriber's connection.

use std::convert::Infallible;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use snafu::{ResultExt, Snafu, ensure};
use tulipridge_protocol::feed::{ToPublisher, ToSubscriber};
use tulipridge_protocol::frame::FrameError;
use tulipridge_runtime::clock;

use super::Publisher;
use super::subscription::Subscription;
use crate::link::{Event, Link};
use crate::store::SentPositions;
use crate::wire::Received;

/// Maximum number of buffered bytes of an incomplete message; the connection ends beyond it.
const MAX_PARTIAL_MESSAGE_BYTES: usize = 64 * 1024;

/// Reason for the end of a subscriber's connection.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionEnd {
    #[snafu(display("the subscriber has closed the connection"))]
    Closed,
    #[snafu(display("the connection has failed: {source}"))]
    Failed { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("a message from the subscriber is too long"))]
    TooLong,
    #[snafu(display("a message from the subscriber is unexpected"))]
    UnexpectedMessage,
    #[snafu(display("no message from the subscriber within the idle timeout"))]
    Idle,
    #[snafu(display("the subscriber accepted no bytes within the write stall timeout"))]
    Stalled,
}

/// Serves a connection until it ends.
pub(super) async fn serve(
    publisher: &Publisher,
    subscription: &Subscription,
    stream: &Async<TcpStream>,
) -> ConnectionEnd {
    if let Err(source) = stream.get_ref().set_nodelay(true) {
        return ConnectionEnd::Failed { source };
    }
    let mut connection = Connection::new(publisher, subscription, stream);
    match connection.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

struct Connection<'a> {
    publisher: &'a Publisher,
    subscription: &'a Subscription,
    link: Link<'a>,
    /// Position up to which the state was sent; `None` before the subscription.
    sent: Option<SentPositions>,
    /// Id of the newest ping that has no pong yet. One pong covers this ping and all earlier ones.
    pending_ping: Option<u64>,
    /// Time at which the connection last accepted bytes or had none to send.
    last_progress_at: Duration,
}

impl<'a> Connection<'a> {
    fn new(publisher: &'a Publisher, subscription: &'a Subscription, stream: &'a Async<TcpStream>) -> Self {
        Connection {
            publisher,
            subscription,
            link: Link::new(stream),
            sent: None,
            pending_ping: None,
            last_progress_at: clock::now(),
        }
    }

    async fn run(&mut self) -> Result<Infallible, ConnectionEnd> {
        loop {
            let deadline = self.deadline();
            match self
                .link
                .next_event(&[&self.subscription.store_changed], deadline)
                .await
                .context(FailedSnafu)?
            {
                Event::Received(Received::EndOfStream) => return ClosedSnafu.fail(),
                Event::Received(Received::Bytes) => self.read_messages()?,
                Event::Written => self.last_progress_at = clock::now(),
                Event::Signalled(_) => {}
                Event::Timer => self.check_deadlines()?,
            }
            self.queue_newest_state()?;
        }
    }

    fn read_messages(&mut self) -> Result<(), ConnectionEnd> {
        let mut has_queued_work = false;
        while let Some(message) = self.link.receive_buffer.next_message().context(FrameSnafu)? {
            has_queued_work |= matches!(message, ToPublisher::QueuedWork(_));
            self.handle_message(message)?;
        }
        if has_queued_work {
            self.publisher.notify_queued_work();
        }
        ensure!(self.link.receive_buffer.len() <= MAX_PARTIAL_MESSAGE_BYTES, TooLongSnafu);
        self.subscription.status.borrow_mut().last_message_at = clock::now();
        Ok(())
    }

    fn handle_message(&mut self, message: ToPublisher) -> Result<(), ConnectionEnd> {
        let mut status = self.subscription.status.borrow_mut();
        match message {
            ToPublisher::Subscribe(subscribe) => {
                ensure!(self.sent.is_none(), UnexpectedMessageSnafu);
                status.revision = subscribe.known.configuration;
                self.sent = Some(SentPositions::from(subscribe.known));
                status.subscriber = Some(subscribe);
            }
            ToPublisher::Ping { id, gateways } => {
                ensure!(self.sent.is_some(), UnexpectedMessageSnafu);
                status.gateway_count = gateways;
                self.pending_ping = Some(id);
            }
            ToPublisher::QueuedWork(queued_work) => {
                ensure!(self.sent.is_some(), UnexpectedMessageSnafu);
                status.queued_work = queued_work;
            }
        }
        Ok(())
    }

    /// Once all bytes are sent, writes the newest state, followed by the pong for the newest ping.
    ///
    /// The order matters: a pong states the age of the state that precedes it on the connection.
    fn queue_newest_state(&mut self) -> Result<(), ConnectionEnd> {
        let Some(sent) = self.sent.filter(|_| self.link.send_queue.is_empty()) else { return Ok(()) };
        let store = self.publisher.store.borrow();
        let frames = self.publisher.batch_cache.borrow_mut().frames(&store, sent).context(FrameSnafu)?;
        self.link.send_queue.push_frames(frames);
        let sent = sent.later(store.newest_positions());
        self.sent = Some(sent);
        self.subscription.status.borrow_mut().revision = sent.known.configuration;
        if let Some(id) = self.pending_ping.take() {
            let revision = store.known_positions().configuration;
            let pong = ToSubscriber::Pong {
                id,
                age_ms: (self.publisher.state_age)().map(milliseconds_rounded_up),
                revision,
            };
            self.link.send_queue.push_message(&pong).context(FrameSnafu)?;
        }
        self.last_progress_at = clock::now();
        Ok(())
    }

    fn check_deadlines(&self) -> Result<(), ConnectionEnd> {
        let now = clock::now();
        ensure!(now < self.idle_deadline(), IdleSnafu);
        ensure!(self.link.send_queue.is_empty() || now < self.write_stall_deadline(), StalledSnafu);
        Ok(())
    }

    fn deadline(&self) -> Duration {
        match self.link.send_queue.is_empty() {
            true => self.idle_deadline(),
            false => self.idle_deadline().min(self.write_stall_deadline()),
        }
    }

    fn idle_deadline(&self) -> Duration {
        self.subscription.status.borrow().last_message_at + self.publisher.settings.idle_timeout
    }

    fn write_stall_deadline(&self) -> Duration {
        self.last_progress_at + self.publisher.settings.write_stall_timeout
    }
}

/// Converts to milliseconds, rounded up, since an age must never be understated; at most [`u32::MAX`].
fn milliseconds_rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
