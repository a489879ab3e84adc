//! Chooses a replica for each request, without a clock and without I/O: events in, actions out.
//!
//! [`LoadBalancer`] is the state machine of one service at one gateway. It combines four known techniques:
//!
//! - consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018; Envoy's `hash_balance_factor`),
//! - outlier ejection and panic threshold (Envoy's outlier detection),
//! - slow start of replicas that have just started ([`slow_start`]; Envoy's slow start mode),
//! - admission by measured latency and by tenant quotas.
//!
//! [`types`] has the settings, events and actions. [`list_schedule`] says when the list service is called. What a decision
//! rests on is estimated in [`demand`], [`queued_work`] and [`decaying_average`].
//!
//! ```
//! use tulipridge_load_balancer::LoadBalancer;
//! use tulipridge_load_balancer::types::{Settings, SettingsError};
//!
//! let without_classes = Settings { group_size: 1, ..Settings::default() };
//! assert_eq!(LoadBalancer::new(without_classes, 7).err(), Some(SettingsError::NoClasses));
//! ```

mod active_request;
mod admission_rate;
mod balancer;
mod circuit_breaker;
pub mod decaying_average;
pub mod demand;
mod hash_ring;
pub mod list_schedule;
pub mod queued_work;
mod random;
mod replica_table;
mod ring_walk;
pub mod slow_start;
mod tenant_demand;
pub mod types;

pub use balancer::LoadBalancer;
