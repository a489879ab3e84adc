//! Load balancing of requests over replicas, as a state machine without a clock or I/O: events in, actions
//! out.
//!
//! [`LoadBalancer`] makes the decisions for one service at one gateway. It combines:
//!
//! - consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018; Envoy's
//!   `hash_balance_factor`),
//! - outlier ejection with a panic threshold (as in Envoy's outlier detection),
//! - slow start of new replicas ([`slow_start`]; compare Envoy's slow start mode),
//! - admission control by measured latency and by tenant quotas.
//!
//! [`types`] has the settings, events and actions. [`list_schedule`] schedules calls to the list service.
//! [`demand`], [`queued_work`] and [`decaying_average`] have the estimates that decisions are based on.
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
