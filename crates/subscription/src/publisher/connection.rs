//! One subscriber's connection.

use std::convert::Infallible;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use snafu::{ResultExt, Snafu, ensure};
use tulipridge_protocol::feed::{ToPublisher, ToSubscriber};
use tulipridge_protocol::frame::FrameError;
use tulipridge_runtime::clock;

use super::{Peer, Publisher};
use crate::link::{Event, Link};
use crate::store::SentPositions;
use crate::wire::Received;

/// Longest message of a subscriber.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Why a connection ends.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionEnd {
    #[snafu(display("the subscriber has closed it"))]
    Closed,
    #[snafu(display("the connection has failed: {source}"))]
    Failed { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("a message of the subscriber is too long"))]
    TooLong,
    #[snafu(display("a message of the subscriber is out of place"))]
    OutOfPlace,
    #[snafu(display("the subscriber says nothing"))]
    Silent,
    #[snafu(display("the subscriber takes no bytes"))]
    Stalled,
}

/// Serves a connection to its end.
pub(super) async fn serve(publisher: &Publisher, peer: &Peer, stream: &Async<TcpStream>) -> ConnectionEnd {
    if let Err(source) = stream.get_ref().set_nodelay(true) {
        return ConnectionEnd::Failed { source };
    }
    let mut connection = Connection::new(publisher, peer, stream);
    match connection.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

struct Connection<'a> {
    publisher: &'a Publisher,
    peer: &'a Peer,
    link: Link<'a>,
    /// How far the subscriber was sent the state; none before it has subscribed.
    sent: Option<SentPositions>,
    /// The newest ping that is not answered yet. Answering it answers all before it.
    unanswered: Option<u64>,
    /// When the connection took bytes last, or had none to take.
    taken: Duration,
}

impl<'a> Connection<'a> {
    fn new(publisher: &'a Publisher, peer: &'a Peer, stream: &'a Async<TcpStream>) -> Self {
        Connection {
            publisher,
            peer,
            link: Link::new(stream),
            sent: None,
            unanswered: None,
            taken: clock::now(),
        }
    }

    async fn run(&mut self) -> Result<Infallible, ConnectionEnd> {
        loop {
            let deadline = self.deadline();
            match self.link.next_event(&[&self.peer.store_changed], deadline).await.context(FailedSnafu)? {
                Event::Received(Received::End) => return ClosedSnafu.fail(),
                Event::Received(Received::Bytes) => self.read_messages()?,
                Event::Written => self.taken = clock::now(),
                Event::Signalled(_) => {}
                Event::Timer => self.check_deadlines()?,
            }
            self.write_newest()?;
        }
    }

    fn read_messages(&mut self) -> Result<(), ConnectionEnd> {
        let mut has_waiting = false;
        while let Some(message) = self.link.incoming.take().context(FrameSnafu)? {
            has_waiting |= matches!(message, ToPublisher::Waiting(_));
            self.take_message(message)?;
        }
        if has_waiting {
            self.publisher.announce_waiting();
        }
        ensure!(self.link.incoming.len() <= MAX_REQUEST_BYTES, TooLongSnafu);
        self.peer.status.borrow_mut().heard = clock::now();
        Ok(())
    }

    fn take_message(&mut self, message: ToPublisher) -> Result<(), ConnectionEnd> {
        let mut status = self.peer.status.borrow_mut();
        match message {
            ToPublisher::Subscribe(subscribe) => {
                ensure!(self.sent.is_none(), OutOfPlaceSnafu);
                status.revision = subscribe.holds.configuration;
                self.sent = Some(SentPositions::from(subscribe.holds));
                status.subscriber = Some(subscribe);
            }
            ToPublisher::Ping { id, gateways } => {
                ensure!(self.sent.is_some(), OutOfPlaceSnafu);
                status.gateways = gateways;
                self.unanswered = Some(id);
            }
            ToPublisher::Waiting(waiting) => {
                ensure!(self.sent.is_some(), OutOfPlaceSnafu);
                status.waiting = waiting;
            }
        }
        Ok(())
    }

    /// Once all is written, goes on with the newest state, and after it the answer to the newest ping.
    fn write_newest(&mut self) -> Result<(), ConnectionEnd> {
        let Some(sent) = self.sent.filter(|_| self.link.outgoing.is_empty()) else { return Ok(()) };
        let store = self.publisher.store.borrow();
        let frames = self.publisher.batches.borrow_mut().frames(&store, sent).context(FrameSnafu)?;
        self.link.outgoing.push(frames);
        let sent = sent.later(store.newest());
        self.sent = Some(sent);
        self.peer.status.borrow_mut().revision = sent.holdings.configuration;
        if let Some(id) = self.unanswered.take() {
            let revision = store.holdings().configuration;
            let pong =
                ToSubscriber::Pong { id, age_ms: (self.publisher.age)().map(milliseconds_up), revision };
            self.link.outgoing.push_message(&pong).context(FrameSnafu)?;
        }
        self.taken = clock::now();
        Ok(())
    }

    fn check_deadlines(&self) -> Result<(), ConnectionEnd> {
        let now = clock::now();
        ensure!(now < self.silent_at(), SilentSnafu);
        ensure!(self.link.outgoing.is_empty() || now < self.stalled_at(), StalledSnafu);
        Ok(())
    }

    fn deadline(&self) -> Duration {
        match self.link.outgoing.is_empty() {
            true => self.silent_at(),
            false => self.silent_at().min(self.stalled_at()),
        }
    }

    fn silent_at(&self) -> Duration {
        self.peer.status.borrow().heard + self.publisher.settings.silence
    }

    fn stalled_at(&self) -> Duration {
        self.taken + self.publisher.settings.write_stall
    }
}

/// Rounded up, since an age must never be told too low.
fn milliseconds_up(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
