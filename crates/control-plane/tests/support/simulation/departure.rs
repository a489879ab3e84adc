//! Permanent departure of members: a process exits once it is no longer needed.

use std::time::Duration;

use tulipridge_control_plane::replication::{Departure, Input};
use tulipridge_control_plane::server::departure::may_exit;

use super::{Event, MS, Simulation};

/// A terminated process exits after this time even if it is still needed.
const TERMINATION_GRACE: Duration = Duration::from_secs(8);
/// Interval at which a leaving process checks whether it may exit.
const DEPARTURE_CHECK_INTERVAL: u64 = 50 * MS;

/// The permanent departure of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    /// When its process was terminated.
    pub since: u64,
    /// What still depended on the process when it exited; `None` while it runs.
    pub ended: Option<Departure>,
}

impl Simulation {
    /// Terminates a process, which exits once it is no longer needed; its machine does not return.
    pub(crate) fn leave(&mut self, index: usize) {
        self.machines[index].leaving = Some(Leaving { since: self.now, ended: None });
        self.input(index, Input::Shutdown);
        match &self.machines[index].process {
            Some(process) => {
                let incarnation = process.incarnation;
                self.schedule(
                    self.now + DEPARTURE_CHECK_INTERVAL,
                    Event::DepartureCheck { machine: index, incarnation },
                );
            }
            None => self.finish_departure(index, Departure::StoresData),
        }
    }

    /// What still depended on a machine when it left; `None` if it has not left.
    pub(crate) fn departure(&self, index: usize) -> Option<Departure> {
        self.machines[index].leaving.and_then(|leaving| leaving.ended)
    }

    /// The number of leaving machines whose processes still run.
    pub(crate) fn leaving_count(&self) -> usize {
        let is_leaving = |leaving: &Leaving| leaving.ended.is_none();
        self.machines
            .iter()
            .filter_map(|machine| machine.leaving.as_ref())
            .filter(|own| is_leaving(own))
            .count()
    }

    pub(super) fn check_departure(&mut self, index: usize) {
        let machine = &self.machines[index];
        let (Some(leaving), Some(process)) = (machine.leaving, &machine.process) else { return };
        let departure = process.replication.departure(machine.clock.local(self.now));
        if may_exit(Duration::from_micros(self.now - leaving.since), TERMINATION_GRACE, departure) {
            self.finish_departure(index, departure);
        } else {
            let incarnation = process.incarnation;
            self.schedule(
                self.now + DEPARTURE_CHECK_INTERVAL,
                Event::DepartureCheck { machine: index, incarnation },
            );
        }
    }

    fn finish_departure(&mut self, index: usize, departure: Departure) {
        if let Some(leaving) = &mut self.machines[index].leaving {
            leaving.ended = Some(departure);
        }
        self.remove(index);
    }
}
