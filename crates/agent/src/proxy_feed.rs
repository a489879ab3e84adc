//! The feed that the agent publishes to the proxy beside it.

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

/// Time between checks whether the proxy is still connected, while the agent shuts down.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A publisher of what the subscriber receives, with the subscriber's freshness.
pub(crate) struct ProxyFeed {
    publisher: Rc<Publisher>,
}

impl ProxyFeed {
    /// Publishes `store`, and forwards the queued work that the proxy reports to the relay.
    pub(crate) fn new(store: &Rc<RefCell<FeedStore>>, subscriber: &Rc<Subscriber>) -> Self {
        let publisher = publish(store, subscriber);
        forward_queued_work(&publisher, subscriber);
        ProxyFeed { publisher }
    }

    /// Serves the proxy for ever.
    pub(crate) async fn serve(&self, address: SocketAddr, executor: &LocalExecutor<'static>) {
        let listener = bind_with_retry(address, || Async::<TcpListener>::bind(address)).await;
        Rc::clone(&self.publisher).serve(listener, executor).await;
    }

    /// Waits until the agent may end: it is killed after `leeway`, and stays until then while the proxy needs it.
    pub(crate) async fn drain(&self, leeway: Duration) {
        let mut shutdown = Shutdown::new(clock::now(), leeway);
        while !shutdown.is_over(clock::now(), self.is_proxy_connected()) {
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    fn is_proxy_connected(&self) -> bool {
        self.publisher.subscribers().iter().any(|subscriber| subscriber.role == SubscriberRole::Proxy)
    }
}

fn publish(store: &Rc<RefCell<FeedStore>>, subscriber: &Rc<Subscriber>) -> Rc<Publisher> {
    let source = Rc::clone(subscriber);
    let publisher = Publisher::new(Rc::clone(store), Rc::new(move || source.age(clock::now())));
    let notified = Rc::clone(&publisher);
    subscriber.on_change(Box::new(move |_| notified.notify()));
    publisher
}

fn forward_queued_work(publisher: &Rc<Publisher>, subscriber: &Rc<Subscriber>) {
    // Weak, since the publisher owns the listener.
    let (source, subscriber) = (Rc::downgrade(publisher), Rc::clone(subscriber));
    publisher.on_queued_work(move || {
        if let Some(publisher) = source.upgrade() {
            subscriber.set_queued_work(publisher.queued_work());
        }
    });
}
