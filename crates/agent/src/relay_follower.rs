//! Follows the relay that [`RelaySelector`] selects.

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

/// Time between checks whether a better relay is known.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the subscriber connected to the best relay that is known.
pub(crate) struct RelayFollower {
    settings: Settings,
    discovery: Rc<Discovery>,
    subscriber: Rc<Subscriber>,
    selector: RefCell<RelaySelector>,
    /// [`Subscriber::fresh_as_of`] when the relay was selected.
    fresh_at_selection: Cell<Option<Duration>>,
}

impl RelayFollower {
    /// Follows nobody before [`RelayFollower::follow`] runs.
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

    /// The relay to which a connection is open.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.subscriber.connected_to()
    }

    /// Replaces the seeds.
    pub(crate) fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.selector.borrow_mut().set_seeds(seeds);
    }

    /// Follows one relay after the other, for ever.
    pub(crate) async fn follow(self: Rc<Self>) {
        let subscriber = Rc::clone(&self.subscriber);
        subscriber.run(move |context| self.select(&context)).await;
    }

    /// Changes to a better relay once one is known, for ever.
    pub(crate) async fn review(self: Rc<Self>) {
        loop {
            Timer::after(REVIEW_INTERVAL).await;
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
        let Some(last) = &context.last else { return };
        if matches!(last.reason, EndReason::Reselected) {
            return;
        }
        if let Some(member) = ipv4(last.address) {
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
