//! The agent beside each proxy: keeps the link to the control plane.
//!
//! It takes the feed from a home, a member of the control plane near it, and serves it to the proxy on the
//! loopback interface. It finds homes by the seeds of its settings, the partial views that it exchanges,
//! and the members that the feed itself names. It has no disk.

pub mod agent;
pub mod choice;
pub mod shutdown;
