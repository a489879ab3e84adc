//! Subscribes to the relay that [`RelaySelector`] selects.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::Settings;
use tulipridge_subscription::{EndReason, SelectionContext, Subscriber};

use crate::discovery::Discovery;
use crate::relay_selection::RelaySelector;

/// Interval of the checks for a better relay.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the subscriber connected to the best known relay.
pub(crate) struct RelayFollower {
    settings: Settings,
    discovery: Rc<Discovery>,
    subscriber: Rc<Subscriber>,
    selector: RefCell<RelaySelector>,
    /// The value of [`Subscriber::fresh_as_of`] when the relay was selected.
    fresh_at_selection: Cell<Option<Duration>>,
}

impl RelayFollower {
    /// Creates a follower that connects to no relay until [`RelayFollower::follow`] runs.
    pub(crate) fn new(
        settings: Settings,
        discovery: Rc<Discovery>,
        subscriber: Rc<Subscriber>,
    ) -> Rc<Self> {
        let selector =
            RelaySelector::new(settings.node_name.clone(), settings.area.clone(), settings.seed_ips());
        Rc::new(RelayFollower {
            settings,
            discovery,
            subscriber,
            selector: RefCell::new(selector),
            fresh_at_selection: Cell::new(None),
        })
    }

    /// The address of the connected relay.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.subscriber.connected_to()
    }

    /// Replaces the seeds from which relays are selected.
    pub(crate) fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.selector.borrow_mut().set_seeds(seeds);
    }

    /// Connects to a relay, and to the next one each time a connection ends; never returns.
    pub(crate) async fn follow(self: Rc<Self>) {
        let subscriber = Rc::clone(&self.subscriber);
        subscriber.run(move |context| self.select(&context)).await;
    }

    /// Periodically checks for a better relay and switches to it; never returns.
    pub(crate) async fn check_for_better_relay(self: Rc<Self>) {
        loop {
            Timer::after(RELAY_CHECK_INTERVAL).await;
            let Some(current) = self.relay().and_then(ipv4) else { continue };
            if self.selector.borrow().prefers_another(current, &self.discovery.members(), clock::now()) {
                self.subscriber.reselect();
            }
        }
    }

    fn select(&self, context: &SelectionContext) -> Option<SocketAddr> {
        let now = clock::now();
        self.record_failure(context, now);
        self.fresh_at_selection.set(self.subscriber.fresh_as_of());
        let relay = self.selector.borrow_mut().select(&self.discovery.members(), now)?;
        Some(self.settings.feed_socket(relay))
    }

    fn record_failure(&self, context: &SelectionContext, now: Duration) {
        let Some(previous) = &context.previous else { return };
        if matches!(previous.reason, EndReason::Reselected) {
            return;
        }
        if let Some(member) = ipv4(previous.address) {
            let was_fresh = self.subscriber.fresh_as_of() > self.fresh_at_selection.get();
            self.selector.borrow_mut().record_failure(member, was_fresh, now);
        }
    }
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address {
        SocketAddr::V4(address) => Some(*address.ip()),
        SocketAddr::V6(_) => None,
    }
}
