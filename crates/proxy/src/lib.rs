//! The proxy: admits clients' requests, sends each to a replica, and forwards the response.
//!
//! The process runs on a single thread. A request passes through these modules in order:
//!
//! 1. [`downstream::listener`] accepts the client's connection, [`downstream::connection`] serves it, and
//!    [`downstream::request`] reads the request;
//! 2. [`exchange`] handles the request from here on: [`admission`] admits it according to the newest configuration
//!    ([`active_configuration`], [`freshness`]);
//! 3. [`placement`] selects the replica;
//! 4. [`headers`] and [`kv_cache`] build the head of the upstream request, and [`replica::attempt`] sends the request
//!    on a connection of [`replica::pool`];
//! 5. [`downstream::relay`] forwards a successful response as it arrives. After a failure, [`replica::retry`] decides
//!    whether another attempt follows, within [`retry_budgets`].
//!
//! [`proxy::Proxy`] holds the state that all requests share, [`updates`] applies updates from the control plane to it,
//! [`lifecycle`] and [`shutdown`] implement the graceful shutdown, and [`run`] starts the tasks and subscribes to the
//! feed of the control plane.

pub mod active_configuration;
pub mod admission;
pub mod bounds;
pub mod counters;
pub mod downstream;
pub mod exchange;
pub mod freshness;
pub mod headers;
pub mod kv_cache;
pub mod lifecycle;
pub mod notify;
pub mod placement;
pub mod proxy;
pub mod ready;
pub mod replica;
pub mod retry_budgets;
pub mod run;
pub mod shutdown;
pub mod timer_queue;
pub mod updates;
