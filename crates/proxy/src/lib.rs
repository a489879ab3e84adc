//! The proxy: admits clients' requests, sends each to a replica, and forwards the response.
//!
//! One thread runs everything. The life of a request goes through these modules:
//!
//! 1. [`downstream::listener`] accepts the client's connection, [`downstream::connection`] serves it, and
//!    [`downstream::request`] reads the request;
//! 2. [`exchange`] runs the request from here on: [`admission`] checks it against the newest configuration
//!    ([`active_configuration`], [`freshness`]);
//! 3. [`placement`] chooses the replica;
//! 4. [`headers`] and [`kv_cache`] make the head for the replica, and [`replica::attempt`] sends the request on a
//!    connection of [`replica::pool`];
//! 5. [`downstream::relay`] forwards a success as it arrives. After a failure, [`replica::retry`] decides whether another
//!    attempt follows, within [`retry_budgets`].
//!
//! [`proxy::Proxy`] is the state that requests share, [`updates`] applies changes from the control plane to it,
//! [`lifecycle`] and [`shutdown`] drain the process, and [`run`] joins these with the control plane's feed.

pub mod active_configuration;
pub mod admission;
pub mod alarms;
pub mod bounds;
pub mod counters;
pub mod downstream;
pub mod exchange;
pub mod freshness;
pub mod headers;
pub mod kv_cache;
pub mod lifecycle;
pub mod notice;
pub mod placement;
pub mod proxy;
pub mod ready;
pub mod replica;
pub mod retry_budgets;
pub mod run;
pub mod shutdown;
pub mod updates;
