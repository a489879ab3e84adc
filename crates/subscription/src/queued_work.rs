//! Work queued at replicas, summed over gateways on its way to the primary. No I/O and no clock.

use std::collections::BTreeMap;

use tulipridge_protocol::feed::{QueuedWork, QueuedWorkEntry};

/// Returns the sum of several subscribers' reports. If reports refer to different positions of the table of replicas,
/// only those of the latest position are counted.
pub fn sum<'a>(reports: impl IntoIterator<Item = &'a QueuedWork>) -> QueuedWork {
    let mut fleet = Default::default();
    let mut units_by_replica: BTreeMap<u32, u32> = BTreeMap::new();
    for report in reports {
        if report.fleet > fleet {
            fleet = report.fleet;
            units_by_replica.clear();
        }
        for entry in report.entries.iter().filter(|_| report.fleet == fleet) {
            let units = units_by_replica.entry(entry.replica_index).or_default();
            *units = units.saturating_add(entry.units);
        }
    }
    let entry = |(replica_index, units)| QueuedWorkEntry { replica_index, units };
    QueuedWork { fleet, entries: units_by_replica.into_iter().map(entry).collect() }
}
