//! Delivery of state along the feed: from the control plane's primary to the relays of each zone (members that serve
//! agents), from a relay to its agents, and from an agent to the proxy on the same machine.
//!
//! A change takes the same path at each hop. The [`subscriber::Subscriber`] receives a message, applies it to the
//! process's [`store::FeedStore`] and calls its listeners. One listener notifies the [`publisher::Publisher`] of the
//! same store, which sends each of its subscribers a delta from that subscriber's position, or a snapshot.
//! Pings are sent in the opposite direction, and [`freshness::Freshness`] computes from their pongs how stale the
//! state may be. Reports of [`queued_work`] are sent towards the primary on the same connections.
//!
//! [`store`], [`freshness`] and [`queued_work`] do no I/O. [`publisher::Publisher`] and
//! [`subscriber::Subscriber`] are the two ends of a connection. Their futures run on one thread.

pub mod freshness;
mod link;
pub mod publisher;
pub mod queued_work;
mod signal;
pub mod store;
pub mod subscriber;
mod wire;

pub use tulipridge_runtime::clock;

pub use freshness::Freshness;
pub use publisher::{Publisher, PublisherSettings};
pub use store::{FeedError, FeedStore, Pong, StateChanges};
pub use subscriber::{
    EndReason, PreviousConnection, SelectionContext, StalenessTolerance, Subscriber, SubscriberIdentity,
};
