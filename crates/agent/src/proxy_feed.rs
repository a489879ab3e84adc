//! Publishes the feed to the proxy on the same machine.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tulipridge_protocol::feed::SubscriberRole;
use tulipridge_runtime::clock;
use tulipridge_subscription::{FeedStore, Publisher, Subscriber};

use crate::bind::bind_with_retry;
use crate::shutdown::Shutdown;

/// Interval of the checks during shutdown whether the proxy is still connected.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes the state that the subscriber receives, with the age that the subscriber reports.
pub(crate) struct ProxyFeed {
    publisher: Rc<Publisher>,
}

impl ProxyFeed {
    /// Creates the feed of `store`, and forwards the queued work that the proxy reports to the relay.
    pub(crate) fn new(store: &Rc<RefCell<FeedStore>>, subscriber: &Rc<Subscriber>) -> Self {
        let publisher = publish(store, subscriber);
        forward_queued_work(&publisher, subscriber);
        ProxyFeed { publisher }
    }

    /// Serves the proxy; never returns.
    pub(crate) async fn serve(&self, address: SocketAddr, executor: &LocalExecutor<'static>) {
        let listener = bind_with_retry(address, || Async::<TcpListener>::bind(address)).await;
        Rc::clone(&self.publisher).serve(listener, executor).await;
    }

    /// Waits until the agent may exit: when the proxy has disconnected, or shortly before the platform kills the
    /// agent, `leeway` after the stop signal.
    pub(crate) async fn drain(&self, leeway: Duration) {
        let mut shutdown = Shutdown::new(clock::now(), leeway);
        while !shutdown.should_exit(clock::now(), self.is_proxy_connected()) {
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    fn is_proxy_connected(&self) -> bool {
        self.publisher.subscribers().iter().any(|subscriber| subscriber.role == SubscriberRole::Proxy)
    }
}

fn publish(store: &Rc<RefCell<FeedStore>>, subscriber: &Rc<Subscriber>) -> Rc<Publisher> {
    let age_source = Rc::clone(subscriber);
    let publisher = Publisher::new(Rc::clone(store), Rc::new(move || age_source.age(clock::now())));
    let notified_publisher = Rc::clone(&publisher);
    subscriber.on_change(Box::new(move |_| notified_publisher.notify_subscribers()));
    publisher
}

fn forward_queued_work(publisher: &Rc<Publisher>, subscriber: &Rc<Subscriber>) {
    // The publisher owns the callback, so a strong reference to it would be a cycle.
    let (weak_publisher, subscriber) = (Rc::downgrade(publisher), Rc::clone(subscriber));
    publisher.on_queued_work(move || {
        if let Some(publisher) = weak_publisher.upgrade() {
            subscriber.set_queued_work(publisher.queued_work());
        }
    });
}
