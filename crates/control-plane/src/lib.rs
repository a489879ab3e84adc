//! The control plane: replicated state, service discovery, delivery, weights.
//!
//! Modules:
//!
//! - [`server`] starts a member: it recovers the [`disk`] and runs the member's tasks until its departure.
//! - [`member`] passes messages, completed writes and the time to the [`replication`] protocol and executes its
//!   outputs: records go to the [`disk`] (stored as a [`state_log`]), messages to the [`links`], committed commands to
//!   the [`state_machine`], which applies them to the replicated [`state`].
//! - [`api`] is the operator's HTTP API, backed by [`operator_service`]; [`change`] takes a change from its request to
//!   its commit.
//! - The primary, within its lease, has the [`singleton`] roles: [`discovery`] of replicas for the table in [`fleet`],
//!   the prefix cache [`index`], and the [`rollout`] of weights. They make their calls with [`http_client`].
//! - [`member_feed`] publishes the configuration, the replica table, the cache index and the rollout to agents and to
//!   the other members.

mod accept;
pub mod api;
pub mod change;
pub mod discovery;
pub mod disk;
pub mod fleet;
pub mod http_client;
pub mod index;
pub mod links;
pub mod member;
pub mod member_feed;
pub mod operator_service;
pub mod replication;
pub mod rollout;
pub mod server;
pub mod singleton;
pub mod state;
pub mod state_log;
pub mod state_machine;
pub mod tenure;
