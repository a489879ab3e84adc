//! The proxy: takes clients' requests, places each at a replica, and passes the answer on.
//!
//! One thread runs everything. [`proxy::Proxy`] holds what requests share, [`edge`] reads requests from clients'
//! connections, [`exchange`] is the life of one request, [`attempt`] one send of it to a replica, and [`relay`] the
//! passing on of an answer. [`run`] joins these with the feed of the control plane.

pub mod admission;
pub mod alarms;
pub mod attempt;
pub mod bounds;
pub mod budget;
pub mod client;
pub mod connection;
pub mod counters;
pub mod edge;
pub mod events;
pub mod exchange;
pub mod freshness;
pub mod headers;
pub mod held;
pub mod kv_cache;
pub mod lifecycle;
pub mod notice;
pub mod outcome;
pub mod placement;
pub mod pool;
pub mod prompt;
pub mod proxy;
pub mod ready;
pub mod relay;
pub mod replicas;
pub mod reply;
pub mod run;
pub mod urgency;
