//! Connections over loopback for the tests. Nothing sleeps: all waits are for conditions, and bounded.

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
use tulipridge_subscription::{FeedStore, Identity, Publisher, PublisherSettings, Subscriber};

/// Longest time for which a condition may be awaited.
const WITHIN: Duration = Duration::from_secs(20);

/// A store that is shared by tasks.
pub(crate) type SharedStore = Rc<RefCell<FeedStore>>;

/// Runs a test with an executor for its tasks.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(bounded(test(Rc::clone(&executor)))));
}

/// The output of a future that must be ready in time.
pub(crate) async fn bounded<T>(future: impl Future<Output = T>) -> T {
    let late = async {
        Timer::after(WITHIN).await;
        panic!("not ready within {WITHIN:?}")
    };
    future.or(late).await
}

/// Waits until a condition holds, letting other tasks run meanwhile.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        future::yield_now().await;
    }
}

/// A listener on a free port.
pub(crate) fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds");
    let address = listener.get_ref().local_addr().expect("has an address");
    (listener, address)
}

/// An empty store.
pub(crate) fn store() -> SharedStore {
    Rc::default()
}

/// Age of a primary within its lease.
pub(crate) fn fresh() -> Rc<dyn Fn() -> Option<Duration>> {
    Rc::new(|| Some(Duration::ZERO))
}

/// Starts a publisher.
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

/// A subscriber that does not run yet.
pub(crate) fn subscriber(store: &SharedStore, role: SubscriberRole) -> Rc<Subscriber> {
    Subscriber::new(identity(role), Rc::clone(store))
}

/// Who a test subscriber is.
pub(crate) fn identity(role: SubscriberRole) -> Identity {
    Identity { name: "edge-1".to_owned(), zone: "east".to_owned(), role }
}

/// A subscriber's first message.
pub(crate) fn subscribe(known: KnownPositions) -> ToPublisher {
    let Identity { name, zone, role } = identity(SubscriberRole::Agent);
    ToPublisher::Subscribe(Subscribe { name, zone, role, known })
}

/// The bare end of a connection, which a test drives message by message.
pub(crate) struct Peer {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl Peer {
    /// Connects to a publisher.
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::new(Async::<TcpStream>::connect(address).await.expect("connects"))
    }

    /// Takes a subscriber's connection.
    pub(crate) async fn accept(listener: &Async<TcpListener>) -> Self {
        Self::new(listener.accept().await.expect("accepts").0)
    }

    fn new(stream: Async<TcpStream>) -> Self {
        Peer { stream, buffer: Vec::new() }
    }

    /// Sends a subscriber's message.
    pub(crate) async fn send(&mut self, message: &ToPublisher) {
        let mut bytes = Vec::new();
        frame::append(message, &mut bytes).expect("encodes");
        self.write(&bytes).await;
    }

    /// Sends a publisher's message.
    pub(crate) async fn reply(&mut self, message: &ToSubscriber) {
        let mut bytes = Vec::new();
        frame::append(message, &mut bytes).expect("encodes");
        self.write(&bytes).await;
    }

    /// Sends bytes.
    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("writes");
    }

    /// The publisher's next message; none at the end of the connection.
    pub(crate) async fn receive(&mut self) -> Option<ToSubscriber> {
        loop {
            if let Some(message) = frame::take(&mut self.buffer).expect("decodes") {
                return Some(message);
            }
            self.fill().await?;
        }
    }

    /// The subscriber's next message; none at the end of the connection.
    pub(crate) async fn receive_request(&mut self) -> Option<ToPublisher> {
        loop {
            if let Some(message) = frame::take(&mut self.buffer).expect("decodes") {
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
