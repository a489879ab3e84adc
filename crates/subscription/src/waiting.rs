//! Work that waits at replicas, summed over gateways on its way to the primary. No I/O and no clock.

use std::collections::BTreeMap;

use tulipridge_protocol::feed::QueuedWork;

/// The sum of what several subscribers have told. Of work that refers to different tables of replicas, that of the
/// newest counts.
pub fn sum<'a>(parts: impl IntoIterator<Item = &'a QueuedWork>) -> QueuedWork {
    let mut fleet = Default::default();
    let mut lines: BTreeMap<u32, u32> = BTreeMap::new();
    for part in parts {
        if part.fleet > fleet {
            fleet = part.fleet;
            lines.clear();
        }
        for (place, amount) in part.lines.iter().filter(|_| part.fleet == fleet) {
            let line = lines.entry(*place).or_default();
            *line = line.saturating_add(*amount);
        }
    }
    QueuedWork { fleet, lines: lines.into_iter().collect() }
}
