//! The agent that runs beside each proxy and maintains the connection to the control plane.
//!
//! It subscribes to the feed of a relay, a member of the control plane that serves agents, and publishes the same
//! state to the proxy on the loopback interface. It discovers relays from the seeds in its settings, from the partial
//! views that it exchanges, and from the members that the feed lists. It stores nothing on disk.
//!
//! [`agent::Agent`] starts four tasks: they follow a relay, check for a better relay, exchange partial views, and serve
//! the proxy. [`relay_selection`] and [`shutdown`] do no I/O and read no clock.

pub mod agent;
mod bind;
mod discovery;
mod proxy_feed;
mod relay_follower;
pub mod relay_selection;
pub mod shutdown;
