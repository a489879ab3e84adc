//! What breaks, and what comes back.

use super::{DRAIN, FaultKind, Fleet, Phase, RngExt, SECOND, What, nanos};

impl Fleet<'_> {
    /// Draws whom a fault hits, and when within its time.
    pub(super) fn fault(&mut self, n: usize) {
        let (_, fault) = self.faults[n];
        let (within, back) = (nanos(fault.within), nanos(fault.back));
        if fault.kind == FaultKind::ListOutage {
            self.list_away_until = self.list_away_until.max(self.now + back);
            return;
        }
        let gateways = fault.kind == FaultKind::RestartGateways;
        let mut hit: Vec<usize> = match gateways {
            true => (0..self.gateways.len()).filter(|g| self.gateways[*g].policy.is_some()).collect(),
            false => (0..self.replicas.len()).filter(|r| self.replicas[*r].alive).collect(),
        };
        let count = (hit.len() as f64 * fault.share.unwrap_or(0.0)).round() as usize;
        for at in 0..count {
            let other = self.chances.random_range(at..hit.len());
            hit.swap(at, other);
        }
        for one in hit.into_iter().take(count) {
            let wait = self.up_to(within);
            if gateways {
                self.after(wait, What::Kill(one));
                self.after(wait + back, What::Start(one));
            } else {
                self.after(wait, What::Change { replica: one, fault: n });
                self.after(wait + back, What::Restore { replica: one, fault: n });
            }
        }
    }

    pub(super) fn change(&mut self, r: usize, n: usize) {
        let (_, fault) = self.faults[n];
        let notice = nanos(self.x.list.notice);
        match fault.kind {
            FaultKind::KillReplicas => {
                self.die(r);
                self.publish(notice, r, Phase::Gone, None);
            }
            FaultKind::SilenceReplicas => {
                self.replicas[r].silent = true;
                self.publish(notice, r, Phase::Gone, None);
            }
            FaultKind::SlowReplicas => self.replicas[r].slowness = fault.factor.unwrap_or(1.0),
            FaultKind::ErrorReplicas => self.replicas[r].errors = fault.part.unwrap_or(0.0),
            // Nothing to publish: the process runs.
            FaultKind::HangReplicas => self.replicas[r].hangs = true,
            FaultKind::ReplaceReplicas => {
                self.publish(0, r, Phase::Draining, self.members[r].started);
                self.after(DRAIN, What::Leave(r));
            }
            FaultKind::RestartGateways | FaultKind::ListOutage => {}
        }
    }

    pub(super) fn restore(&mut self, r: usize, n: usize) {
        let (name, fault) = self.faults[n];
        let (now, add) = (self.now, nanos(self.x.list.add));
        match fault.kind {
            FaultKind::KillReplicas | FaultKind::SilenceReplicas => {
                if fault.kind == FaultKind::SilenceReplicas {
                    self.die(r);
                }
                self.replicas[r].start(now);
                self.note(r);
                self.publish(add, r, Phase::Ready, Some(now));
            }
            FaultKind::SlowReplicas => self.replicas[r].slowness = 1.0,
            FaultKind::ErrorReplicas => self.replicas[r].errors = 0.0,
            FaultKind::HangReplicas => {
                self.replicas[r].hangs = false;
                self.wake(r);
            }
            FaultKind::ReplaceReplicas => {
                let (zone, kind) = (self.replicas[r].zone, self.replicas[r].kind);
                let fresh = self.add_replica(format!("{name}-{r}"), zone, kind, 1.0, Some(now));
                // Not listed until the service has heard of it.
                self.members[fresh].phase = Phase::Gone;
                self.publish(add, fresh, Phase::Ready, Some(now));
            }
            FaultKind::RestartGateways | FaultKind::ListOutage => {}
        }
    }

    /// A drained real server goes, once it has nothing left to do.
    pub(super) fn leave(&mut self, r: usize) {
        if self.replicas[r].in_hand() > 0 {
            return self.after(SECOND / 10, What::Leave(r));
        }
        self.die(r);
        self.publish(nanos(self.x.list.notice), r, Phase::Gone, None);
    }
}
