//! The state of one subscription, shared by its connection's task and the publisher's reports.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{QueuedWork, Subscribe, SubscriberRole};
use tulipridge_runtime::clock;

use crate::signal::Signal;

/// A subscriber whose last message is older than this does not count among the gateways.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// A subscriber that is connected, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectedSubscriber {
    /// The remote address of its connection.
    pub peer: SocketAddr,
    /// Its machine name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its role.
    pub role: SubscriberRole,
    /// Gateways that it serves, by its latest ping.
    pub gateways: u32,
    /// Revision of the configuration that it was sent last, or had when it subscribed.
    pub revision: Revision,
    /// Time since its last message.
    pub idle: Duration,
}

/// What the publisher knows of a connection.
#[derive(Debug)]
pub(super) struct Subscription {
    address: SocketAddr,
    /// Raised when the store has changed.
    pub(super) store_changed: Signal,
    pub(super) status: RefCell<SubscriptionStatus>,
}

/// What the subscriber has sent so far, and how far it was sent the configuration.
#[derive(Debug)]
pub(super) struct SubscriptionStatus {
    /// The first message; none before it has come.
    pub(super) subscriber: Option<Subscribe>,
    /// When the last message came, or the connection was made.
    pub(super) last_message: Duration,
    pub(super) gateways: u32,
    pub(super) revision: Revision,
    pub(super) queued_work: QueuedWork,
}

impl Subscription {
    pub(super) fn new(address: SocketAddr) -> Self {
        let status = SubscriptionStatus {
            subscriber: None,
            last_message: clock::now(),
            gateways: 0,
            revision: Revision(0),
            queued_work: QueuedWork::default(),
        };
        Subscription { address, store_changed: Signal::default(), status: RefCell::new(status) }
    }

    /// Whether the last message is recent enough for the subscriber's gateways to count.
    pub(super) fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.status.borrow().last_message) <= LIVENESS_TIMEOUT
    }

    /// Gateways that the subscriber serves, by its latest ping.
    pub(super) fn gateways(&self) -> u32 {
        self.status.borrow().gateways
    }

    /// The subscriber for a report; none before it has subscribed.
    pub(super) fn report(&self, now: Duration) -> Option<ConnectedSubscriber> {
        let status = self.status.borrow();
        let subscriber = status.subscriber.as_ref()?;
        Some(ConnectedSubscriber {
            peer: self.address,
            name: subscriber.name.clone(),
            zone: subscriber.zone.clone(),
            role: subscriber.role,
            gateways: status.gateways,
            revision: status.revision,
            idle: now.saturating_sub(status.last_message),
        })
    }
}
