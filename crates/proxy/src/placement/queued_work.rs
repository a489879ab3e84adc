//! The work that this proxy has sent to replicas and to which no response has begun.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tulipridge_load_balancer::types::ReplicaId;
use tulipridge_protocol::feed::WORK_UNIT_TOKENS;

/// Queued work by replica, in units of [`WORK_UNIT_TOKENS`].
pub type WorkByReplica = BTreeMap<ReplicaId, u32>;

/// A function that is called with all queued work after each change.
type Listener = Box<dyn Fn(&WorkByReplica)>;

/// The table of queued work, and the listener that is notified of changes.
#[derive(Default)]
pub struct QueuedWorkTable {
    queued: RefCell<WorkByReplica>,
    listener: RefCell<Option<Listener>>,
}

/// Work that is queued at a replica until this guard is dropped.
pub struct QueuedWorkGuard {
    table: Rc<QueuedWorkTable>,
    replica: ReplicaId,
    units: u32,
}

/// The work units of a request with `unread_tokens` to prefill: 1, plus 1 for each full [`WORK_UNIT_TOKENS`].
#[must_use]
pub fn work_units(unread_tokens: u32) -> u32 {
    1 + unread_tokens / WORK_UNIT_TOKENS
}

impl QueuedWorkTable {
    /// Sets the function that is called after each change.
    pub fn on_change(&self, listener: impl Fn(&WorkByReplica) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Adds work that is sent to a replica. It counts as queued until the guard is dropped.
    pub fn add(self: &Rc<Self>, replica: &ReplicaId, units: u32) -> QueuedWorkGuard {
        *self.queued.borrow_mut().entry(replica.clone()).or_default() += units;
        self.publish();
        QueuedWorkGuard { table: self.clone(), replica: replica.clone(), units }
    }

    /// Calls the listener with all queued work. Must also be called when the positions of replicas in the feed change.
    pub fn publish(&self) {
        if let Some(listener) = &*self.listener.borrow() {
            listener(&self.queued.borrow());
        }
    }
}

impl Drop for QueuedWorkGuard {
    fn drop(&mut self) {
        {
            let mut queued = self.table.queued.borrow_mut();
            if let Some(units) = queued.get_mut(&self.replica) {
                *units -= self.units;
            }
            queued.retain(|_, units| *units > 0);
        }
        self.table.publish();
    }
}
