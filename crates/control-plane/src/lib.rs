//! The control plane: replicated state, service discovery, delivery, weights.
//!
//! Where to look:
//!
//! - A member starts in [`server`], which recovers its [`disk`] and runs its tasks until it departs.
//! - [`member`] feeds the [`replication`] protocol with messages, finished writes and the time, and carries out its
//!   outputs: records go to the [`disk`] (kept as a [`state_log`]), messages to the [`links`], committed commands to the
//!   [`state_machine`], which applies them to the replicated [`state`].
//! - The operator's [`api`] serves a member as the [`operator_view`] shows it; [`change`] carries a change from its
//!   request to its commit.
//! - The primary, within its lease, has the [`singleton`] roles: [`discovery`] of replicas for the table in [`fleet`],
//!   the prefix cache [`index`], and the [`rollout`] of weights. [`http_client`] makes their calls.
//! - [`delivery`] publishes all of this to agents and to the other members.

mod accept;
pub mod api;
pub mod change;
pub mod delivery;
pub mod discovery;
pub mod disk;
pub mod fleet;
pub mod http_client;
pub mod index;
pub mod links;
pub mod member;
pub mod operator_view;
pub mod replication;
pub mod rollout;
pub mod server;
pub mod singleton;
pub mod state;
pub mod state_log;
pub mod state_machine;
pub mod tenure;
