//! The control plane: agreed state, service discovery, delivery, weights.

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
