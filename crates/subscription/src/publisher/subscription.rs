//! The state of one subscription, shared by the task of its connection and the publisher's reports.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{QueuedWork, Subscribe, SubscriberRole};
use tulipridge_runtime::clock;

use crate::signal::Signal;

/// The gateways of a subscriber whose last message is older than this are not counted.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Description of a connected subscriber, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectedSubscriber {
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Machine name of the subscriber.
    pub name: String,
    /// Zone of the subscriber's machine.
    pub zone: String,
    /// Role of the subscriber's process.
    pub role: SubscriberRole,
    /// Number of gateways that the subscriber serves, by its latest ping.
    pub gateway_count: u32,
    /// Revision of the last configuration sent to the subscriber, or known to it when it subscribed.
    pub revision: Revision,
    /// Time since the subscriber's last message.
    pub idle_time: Duration,
}

/// State that the publisher keeps for one connection.
#[derive(Debug)]
pub(super) struct Subscription {
    address: SocketAddr,
    /// Raised when the store has changed.
    pub(super) store_changed: Signal,
    pub(super) status: RefCell<SubscriptionStatus>,
}

/// Latest messages of the subscriber, and the revision of the configuration that it was sent.
#[derive(Debug)]
pub(super) struct SubscriptionStatus {
    /// First message of the subscriber; `None` before its arrival.
    pub(super) subscriber: Option<Subscribe>,
    /// Arrival of the last message; at first the time of the connection.
    pub(super) last_message_at: Duration,
    pub(super) gateway_count: u32,
    pub(super) revision: Revision,
    pub(super) queued_work: QueuedWork,
}

impl Subscription {
    pub(super) fn new(address: SocketAddr) -> Self {
        let status = SubscriptionStatus {
            subscriber: None,
            last_message_at: clock::now(),
            gateway_count: 0,
            revision: Revision(0),
            queued_work: QueuedWork::default(),
        };
        Subscription { address, store_changed: Signal::default(), status: RefCell::new(status) }
    }

    /// Returns whether the last message is recent enough for the subscriber's gateways to be counted.
    pub(super) fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.status.borrow().last_message_at) <= LIVENESS_TIMEOUT
    }

    /// Returns the number of gateways that the subscriber serves, by its latest ping.
    pub(super) fn gateway_count(&self) -> u32 {
        self.status.borrow().gateway_count
    }

    /// Describes the subscriber for a report; `None` before the subscription.
    pub(super) fn describe(&self, now: Duration) -> Option<ConnectedSubscriber> {
        let status = self.status.borrow();
        let subscriber = status.subscriber.as_ref()?;
        Some(ConnectedSubscriber {
            peer: self.address,
            name: subscriber.name.clone(),
            zone: subscriber.zone.clone(),
            role: subscriber.role,
            gateway_count: status.gateway_count,
            revision: status.revision,
            idle_time: now.saturating_sub(status.last_message_at),
        })
    }
}
