//! Members that leave for good: their processes end once they are not needed any more.

use std::time::Duration;

use tulipridge_control_plane::replication::{Departure, Input};
use tulipridge_control_plane::server::departure::may_exit;

use super::{Event, MS, Simulation};

/// A process that was told to stop is killed after this time.
const LEEWAY: Duration = Duration::from_secs(8);
/// How often a process looks whether it may end.
const LOOK_EVERY: u64 = 50 * MS;

/// A machine that leaves for good.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    /// When its process was told to stop.
    pub since: u64,
    /// What would have been missing when its process ended; none as long as it runs.
    pub ended: Option<Departure>,
}

impl Simulation {
    /// Tells a process to stop; it ends when it is not needed any more, and its machine does not come back.
    pub(crate) fn leave(&mut self, index: usize) {
        self.machines[index].leaving = Some(Leaving { since: self.now, ended: None });
        self.input(index, Input::Terminate);
        match &self.machines[index].process {
            Some(process) => {
                let incarnation = process.incarnation;
                self.schedule(self.now + LOOK_EVERY, Event::DepartureCheck { machine: index, incarnation });
            }
            None => self.end_departure(index, Departure::StoresData),
        }
    }

    /// How a machine has left; none as long as it has not.
    pub(crate) fn departure(&self, index: usize) -> Option<Departure> {
        self.machines[index].leaving.and_then(|leaving| leaving.ended)
    }

    /// Machines whose processes were told to stop for good, and have not ended.
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
        if may_exit(Duration::from_micros(self.now - leaving.since), LEEWAY, departure) {
            self.end_departure(index, departure);
        } else {
            let incarnation = process.incarnation;
            self.schedule(self.now + LOOK_EVERY, Event::DepartureCheck { machine: index, incarnation });
        }
    }

    fn end_departure(&mut self, index: usize, departure: Departure) {
        if let Some(leaving) = &mut self.machines[index].leaving {
            leaving.ended = Some(departure);
        }
        self.remove(index);
    }
}
