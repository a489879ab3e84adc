//! Delivery of state along the feed: from the control plane's primary to the homes of each zone, from a home to
//! its agents, and from an agent to the proxy beside it.
//!
//! [`store::FeedStore`] holds the newest state and tells what a subscriber lacks; [`freshness::Freshness`] reckons
//! since when that state is known to be the newest. Neither does I/O. [`publisher::Publisher`] and
//! [`subscriber::Subscriber`] are the two ends of a connection. They are futures for one thread.

pub mod freshness;
mod link;
pub mod publisher;
mod signal;
pub mod store;
pub mod subscriber;
pub mod waiting;
mod wire;

pub use tulipridge_runtime::clock;

pub use freshness::Freshness;
pub use publisher::{Publisher, PublisherSettings};
pub use store::{Changed, FeedError, FeedStore, Pong};
pub use subscriber::{Attempt, EndReason, Ended, Identity, Subscriber, Tolerance};
