//! The proxy: takes clients' requests, places each at a replica, and passes the answer on.
//!
//! One thread runs everything. [`proxy::Proxy`] holds what requests share, [`edge`] reads requests from clients'
//! connections, [`exchange`] is the life of one request, [`placement`] decides where it goes, [`replica`] sends it
//! there, and [`relay`] passes an answer on. [`run`] joins these with the feed of the control plane.

pub mod admission;
pub mod alarms;
pub mod bounds;
pub mod client;
pub mod counters;
pub mod edge;
pub mod events;
pub mod exchange;
pub mod freshness;
pub mod headers;
pub mod kv_cache;
pub mod lifecycle;
pub mod notice;
pub mod placement;
pub mod proxy;
pub mod ready;
pub mod relay;
pub mod replica;
pub mod run;
