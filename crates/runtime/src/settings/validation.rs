//! Validation of a settings file, field by field.

use std::collections::HashSet;
use std::net::Ipv4Addr;

use serde_norway::{Mapping, Value};

use super::{Finding, LOOPBACK_FEED_PORT_OFFSET, PortRange, Settings};

/// Fields without which no process can run.
const REQUIRED_FIELDS: [&str; 4] = ["nodeName", "ipAddress", "area", "sparePorts"];
/// Ports that the system uses, from the first of `sparePorts` on.
const PORTS_USED: u16 = LOOPBACK_FEED_PORT_OFFSET + 1;

/// Returns a finding for each required field that is absent.
pub(super) fn missing_fields(document: &Mapping) -> Vec<Finding> {
    REQUIRED_FIELDS
        .iter()
        .filter(|name| !document.contains_key(**name))
        .map(|name| Finding::new(*name, "is needed and missing"))
        .collect()
}

/// Removes fields that are null, at every depth, so that null means the same as absent.
pub(super) fn without_nulls(value: Value) -> Value {
    match value {
        Value::Mapping(fields) => {
            let present = fields.into_iter().filter(|(_, field)| !field.is_null());
            Value::Mapping(present.map(|(name, field)| (name, without_nulls(field))).collect())
        }
        other => other,
    }
}

/// Returns a finding for each value that has the right type but is out of range.
pub(super) fn out_of_range_values(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(settings, &mut findings);
    check_ports(settings, &mut findings);
    check_caps(settings, &mut findings);
    check_time_limits(settings, &mut findings);
    findings
}

fn check_names(settings: &Settings, findings: &mut Vec<Finding>) {
    if settings.node_name.is_empty() {
        findings.push(Finding::new("nodeName", "must not be empty"));
    }
    if settings.ip_address == Ipv4Addr::UNSPECIFIED {
        findings.push(Finding::new("ipAddress", "must be the address of this machine"));
    }
    if !settings.zones.is_empty() && !settings.zones.contains_key(&settings.area) {
        findings.push(Finding::new("area", format!("{:?} is not one of zones", settings.area)));
    }
}

fn check_ports(settings: &Settings, findings: &mut Vec<Finding>) {
    let PortRange { first, last } = settings.spare_ports;
    if first == 0 || last < first || last - first < PORTS_USED - 1 {
        let problem = format!("{first} to {last} must give {PORTS_USED} ports above 0");
        findings.push(Finding::new("sparePorts", problem));
    }
    let listen_on = &settings.listen_on;
    let listeners = [
        ("listenOn.frontDoor", listen_on.front_door),
        ("listenOn.readyCheck", listen_on.ready_check),
        ("listenOn.controlPort", listen_on.control_port),
    ];
    let mut addresses = HashSet::new();
    for (field, address) in listeners {
        let Some(address) = address else { continue };
        if address.port() == 0 {
            findings.push(Finding::new(field, "must have a port above 0"));
        }
        if !addresses.insert(address) {
            findings.push(Finding::new(field, format!("{address} is used twice")));
        }
    }
    for (index, seed) in settings.seed_nodes.iter().enumerate() {
        if !seed.is_ipv4() || seed.port() == 0 {
            let problem = format!("{seed} is not an IPv4 address with a port");
            findings.push(Finding::new(format!("seedNodes[{index}]"), problem));
        }
    }
}

fn check_caps(settings: &Settings, findings: &mut Vec<Finding>) {
    let caps = &settings.caps;
    check_positive("caps.cpuPart", caps.cpu_part, findings);
    check_positive("caps.coreCount", caps.core_count, findings);
    check_positive("caps.ramMb", caps.ram_mb as f64, findings);
    check_positive("caps.fileHandles", caps.file_handles as f64, findings);
    check_positive("caps.bandwidthMbps", caps.bandwidth_mbps, findings);
    if let Some(cloud) = &settings.cloud_api {
        check_positive("cloudApi.ratePerS", cloud.rate_per_s, findings);
    }
}

fn check_time_limits(settings: &Settings, findings: &mut Vec<Finding>) {
    let limits = &settings.time_limits;
    check_positive("timeLimits.leewayS", limits.leeway_s, findings);
    check_positive("timeLimits.withdrawMs", limits.withdraw_ms as f64, findings);
    check_positive("timeLimits.retryWindowS", limits.retry_window_s, findings);
    let not_negative = [
        ("timeLimits.seedDelayS", limits.seed_delay_s),
        ("timeLimits.recycleAfterS", limits.recycle_after_s),
        ("timeLimits.syncS", limits.sync_s),
        ("timeLimits.healS", limits.heal_s),
        ("timeLimits.again_s", limits.again_s),
        ("timeLimits.retryRatio", limits.retry_ratio),
    ];
    for (field, value) in not_negative {
        if !value.is_finite() || value < 0.0 {
            findings.push(Finding::new(field, format!("{value} must not be below 0")));
        }
    }
}

fn check_positive(field: &str, value: f64, findings: &mut Vec<Finding>) {
    if !value.is_finite() || value <= 0.0 {
        findings.push(Finding::new(field, format!("{value} must be above 0")));
    }
}
