//! The agent beside each proxy: keeps the connection to the control plane.
//!
//! It subscribes to the feed of a relay, a member of the control plane that serves agents, and publishes the same
//! state to the proxy on the loopback interface. It finds relays by the seeds of its settings, by the partial views
//! that it exchanges, and by the members that the feed itself names. It stores nothing on disk.
//!
//! [`agent::Agent`] starts the tasks: one follows a relay, one reviews the choice, one exchanges partial views, and one
//! serves the proxy. [`relay_selection`] and [`shutdown`] decide without I/O and without a clock.

pub mod agent;
mod bind;
mod discovery;
mod proxy_feed;
mod relay_follower;
pub mod relay_selection;
pub mod shutdown;
