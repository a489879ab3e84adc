//! The sections of a settings file.

use std::net::SocketAddr;

use serde::Deserialize;

use super::deserialize::{rounded_integer, string_entries};

/// The ports for traffic inside the system, an inclusive range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "(u16, u16)")]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl From<(u16, u16)> for PortRange {
    fn from((first, last): (u16, u16)) -> Self {
        PortRange { first, last }
    }
}

/// The parties outside the system that a machine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Role {
    /// Clients.
    Edge,
    /// Replicas and the operator.
    Control,
    /// A role that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Listen addresses, which depend on the role.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListenOn {
    /// For clients.
    pub front_door: Option<SocketAddr>,
    /// For readiness checks.
    pub ready_check: Option<SocketAddr>,
    /// For replicas and the operator.
    pub control_port: Option<SocketAddr>,
}

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Caps {
    /// Fraction of a CPU core.
    pub cpu_part: f64,
    /// Speed of the core, as a multiple of the reference core.
    pub core_count: f64,
    /// Memory, in MB.
    #[serde(deserialize_with = "rounded_integer")]
    pub ram_mb: u64,
    /// File descriptors.
    #[serde(deserialize_with = "rounded_integer")]
    pub file_handles: u64,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Capacity of the disk, in MB; 0 on machines without one.
    #[serde(deserialize_with = "rounded_integer")]
    pub storage_mb: u64,
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
            cpu_part: 0.25,
            core_count: 1.0,
            ram_mb: 128,
            file_handles: 1024,
            bandwidth_mbps: 1000.0,
            storage_mb: 0,
        }
    }
}

/// Simultaneous losses that the system has to tolerate without breaking a rule.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Withstand {
    /// Lost machines, of those whose loss counts.
    pub machine_losses: u32,
    /// Lost zones.
    pub zones: u32,
    /// Lost regions.
    pub region_losses: u32,
}

impl Default for Withstand {
    fn default() -> Self {
        Withstand { machine_losses: 1, zones: 0, region_losses: 0 }
    }
}

/// The platform's list service, which names the replicas.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudApi {
    /// Address of the API.
    pub address: SocketAddr,
    /// Requests per second that the list service accepts from all processes of the system together.
    #[serde(default = "default_rate_per_s")]
    pub rate_per_s: f64,
    /// Further tasks that the platform does for the system.
    #[serde(default, deserialize_with = "string_entries")]
    pub tasks: Vec<String>,
    /// Delay until a change of the replicas appears in the list, in milliseconds.
    #[serde(default, deserialize_with = "rounded_integer")]
    pub delay_ms: u64,
}

/// Rate limit of the list service if the settings have none, in requests per second.
fn default_rate_per_s() -> f64 {
    1.0
}
