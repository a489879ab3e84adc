//! The authority that a member's leadership gives to the other parts of the program.

use std::net::Ipv4Addr;
use std::sync::Arc;

use tulipridge_protocol::number::Epoch;
use tulipridge_runtime::clock;

use super::Member;
use super::proposals::OpenedProposal;
use crate::change::{ChangeAuthority, ProposalOutcome};
use crate::member_feed::PrimaryTracker;
use crate::replication::Input;
use crate::singleton::{LeaseStatus, SingletonLease};
use crate::state::{Change, Decision};
use crate::tenure::Tenure;

impl Member {
    /// The current epoch, if this member is primary within its lease and has applied everything committed before it.
    fn acting_epoch(&self) -> Option<Epoch> {
        let epoch = self.leadership.get().ready_epoch()?;
        let replication = self.replication.borrow();
        let is_acting = replication.is_primary(clock::now()) && replication.epoch() == epoch;
        is_acting.then_some(epoch)
    }
}

impl ChangeAuthority for Member {
    fn tenure(&self) -> Option<Tenure> {
        self.leadership.get().tenure().filter(|_| self.is_primary())
    }

    async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.state_machine.decide(change).await
    }

    async fn propose(&self, command: Arc<[u8]>) -> ProposalOutcome {
        let OpenedProposal { ticket, outcome } = self.proposals.borrow_mut().open();
        self.step(Input::Propose { ticket, command });
        outcome.recv().await.unwrap_or(ProposalOutcome::Unknown)
    }
}

impl LeaseStatus for Member {
    fn singleton_lease(&self) -> Option<SingletonLease> {
        let epoch = self.acting_epoch()?;
        let tenure = ChangeAuthority::tenure(self)?;
        Some(SingletonLease { epoch, tenure })
    }

    fn knows_primary(&self) -> bool {
        self.known_primary().is_some()
    }
}

impl PrimaryTracker for Member {
    fn confirms_freshness(&self) -> bool {
        self.acting_epoch().is_some()
    }

    fn primary(&self) -> Option<Ipv4Addr> {
        if self.is_primary() {
            return None;
        }
        self.known_primary().map(|node| node.address())
    }
}
