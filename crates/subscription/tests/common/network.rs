//! Connections over loopback for the tests. Tests wait for conditions, with a time limit, and never for a fixed time.

use std::cell::RefCell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use tulipridge_protocol::feed::{KnownPositions, Subscribe, SubscriberRole, ToPublisher, ToSubscriber};
use tulipridge_protocol::frame;
use tulipridge_subscription::{FeedStore, Publisher, PublisherSettings, Subscriber, SubscriberIdentity};

/// A test that takes longer fails.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Store that several tasks share.
pub(crate) type SharedStore = Rc<RefCell<FeedStore>>;

/// Runs a test with an executor for its tasks.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(with_time_limit(test(Rc::clone(&executor)))));
}

/// Returns the output of a future; panics if it takes longer than the time limit.
pub(crate) async fn with_time_limit<T>(future: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(TIME_LIMIT).await;
        panic!("the test takes longer than {TIME_LIMIT:?}")
    };
    future.or(timeout).await
}

/// Waits until a condition is true, while other tasks run.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        future::yield_now().await;
    }
}

/// Opens a listener on a free port.
pub(crate) fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds a port");
    let address = listener.get_ref().local_addr().expect("returns the local address");
    (listener, address)
}

/// Creates an empty store.
pub(crate) fn store() -> SharedStore {
    Rc::default()
}

/// Returns the age of a primary within its lease: always 0.
pub(crate) fn fresh() -> Rc<dyn Fn() -> Option<Duration>> {
    Rc::new(|| Some(Duration::ZERO))
}

/// Starts a publisher on a free port.
pub(crate) fn publish(
    executor: &Rc<LocalExecutor<'static>>,
    store: &SharedStore,
    age: Rc<dyn Fn() -> Option<Duration>>,
    settings: PublisherSettings,
) -> (Rc<Publisher>, SocketAddr) {
    let (listener, address) = listener();
    let publisher = Publisher::with_settings(Rc::clone(store), age, settings);
    let (serving, tasks) = (Rc::clone(&publisher), Rc::clone(executor));
    executor.spawn(async move { serving.serve(listener, &tasks).await }).detach();
    (publisher, address)
}

/// Creates a subscriber that does not run yet.
pub(crate) fn subscriber(store: &SharedStore, role: SubscriberRole) -> Rc<Subscriber> {
    Subscriber::new(identity(role), Rc::clone(store))
}

/// Identity of the test's subscriber.
pub(crate) fn identity(role: SubscriberRole) -> SubscriberIdentity {
    SubscriberIdentity { name: "edge-1".to_owned(), zone: "east".to_owned(), role }
}

/// Builds a subscriber's first message.
pub(crate) fn subscribe(known: KnownPositions) -> ToPublisher {
    let SubscriberIdentity { name, zone, role } = identity(SubscriberRole::Agent);
    ToPublisher::Subscribe(Subscribe { name, zone, role, known })
}

/// One end of a connection whose messages the test sends and receives one by one.
pub(crate) struct Peer {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl Peer {
    /// Connects to a publisher.
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::new(Async::<TcpStream>::connect(address).await.expect("connects to the publisher"))
    }

    /// Accepts a subscriber's connection.
    pub(crate) async fn accept(listener: &Async<TcpListener>) -> Self {
        Self::new(listener.accept().await.expect("accepts a connection").0)
    }

    fn new(stream: Async<TcpStream>) -> Self {
        Peer { stream, buffer: Vec::new() }
    }

    /// Sends a message to a publisher.
    pub(crate) async fn send(&mut self, message: &ToPublisher) {
        let mut bytes = Vec::new();
        frame::append(message, &mut bytes).expect("encodes the message");
        self.write(&bytes).await;
    }

    /// Sends a message to a subscriber.
    pub(crate) async fn send_to_subscriber(&mut self, message: &ToSubscriber) {
        let mut bytes = Vec::new();
        frame::append(message, &mut bytes).expect("encodes the message");
        self.write(&bytes).await;
    }

    /// Sends bytes that need not be a message.
    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("sends the bytes");
    }

    /// Receives the publisher's next message; `None` at the end of the connection.
    pub(crate) async fn receive(&mut self) -> Option<ToSubscriber> {
        loop {
            if let Some(message) = frame::take(&mut self.buffer).expect("decodes the message") {
                return Some(message);
            }
            self.fill().await?;
        }
    }

    /// Receives the subscriber's next message; `None` at the end of the connection.
    pub(crate) async fn receive_from_subscriber(&mut self) -> Option<ToPublisher> {
        loop {
            if let Some(message) = frame::take(&mut self.buffer).expect("decodes the message") {
                return Some(message);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 4096];
        let count = self.stream.read(&mut chunk).await.unwrap_or(0);
        self.buffer.extend_from_slice(&chunk[..count]);
        (count > 0).then_some(())
    }
}
