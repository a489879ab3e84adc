//! The newest configuration, and earlier ones as bases of deltas.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{Configuration, ConfigurationChanges, difference};
use tulipridge_protocol::feed::ConfigurationUpdate;

use super::error::{FeedError, Table};

/// Default number of earlier configurations that a store keeps as bases of deltas.
pub const DEFAULT_EARLIER_CONFIGURATIONS: usize = 8;

/// Maximum number of routes, services and tenants in all earlier configurations together; the oldest configurations
/// are dropped beyond it.
const MAX_EARLIER_ITEMS: usize = 100_000;

/// History of the configuration: the newest one, and earlier ones as bases of deltas.
#[derive(Debug)]
pub(super) struct ConfigurationHistory {
    newest: Option<Arc<Configuration>>,
    earlier: VecDeque<Arc<Configuration>>,
    max_earlier: usize,
    latest_update: RefCell<Option<CachedUpdate>>,
}

/// The last update that was computed or received, cached because many subscribers need the same one.
#[derive(Debug)]
struct CachedUpdate {
    base: Revision,
    revision: Revision,
    update: ConfigurationUpdate,
}

impl Default for ConfigurationHistory {
    fn default() -> Self {
        Self::with_max_earlier(DEFAULT_EARLIER_CONFIGURATIONS)
    }
}

impl ConfigurationHistory {
    pub(super) fn with_max_earlier(max_earlier: usize) -> Self {
        ConfigurationHistory {
            newest: None,
            earlier: VecDeque::new(),
            max_earlier,
            latest_update: RefCell::new(None),
        }
    }

    pub(super) fn newest(&self) -> Option<&Arc<Configuration>> {
        self.newest.as_ref()
    }

    /// Returns the newest revision; 0 without a configuration.
    pub(super) fn revision(&self) -> Revision {
        self.newest.as_ref().map_or(Revision(0), |newest| newest.revision)
    }

    /// Replaces the newest configuration if the revision is higher. Returns whether it was replaced.
    pub(super) fn replace_if_newer(&mut self, configuration: Arc<Configuration>) -> bool {
        let is_newer = self.newest.as_ref().is_none_or(|newest| configuration.revision > newest.revision);
        if !is_newer {
            return false;
        }
        if let Some(previous) = self.newest.replace(configuration) {
            self.earlier.push_back(previous);
        }
        self.latest_update.replace(None);
        self.drop_oldest();
        true
    }

    pub(super) fn apply(&mut self, update: ConfigurationUpdate) -> Result<bool, FeedError> {
        match update {
            ConfigurationUpdate::Snapshot(configuration) => Ok(self.replace_if_newer(configuration)),
            ConfigurationUpdate::Changes(changes) => {
                if changes.revision <= self.revision() {
                    return Ok(false);
                }
                let base = self.newest.as_ref().filter(|newest| newest.revision == changes.base);
                let Some(base) = base else {
                    return Err(FeedError::Gap { table: Table::Configuration });
                };
                let configuration = Arc::new(difference::apply(base, &changes));
                self.replace_if_newer(configuration);
                self.cache_update(changes);
                Ok(true)
            }
        }
    }

    /// Caches a delta that was applied to this store, for subscribers with the same base.
    fn cache_update(&self, changes: ConfigurationChanges) {
        let cached = CachedUpdate {
            base: changes.base,
            revision: changes.revision,
            update: ConfigurationUpdate::Changes(changes),
        };
        self.latest_update.replace(Some(cached));
    }

    /// Returns the update from revision `base` to the newest; `None` if `base` is not older.
    pub(super) fn since(&self, base: Revision) -> Option<ConfigurationUpdate> {
        let newest = self.newest.as_ref().filter(|newest| newest.revision > base)?;
        let mut latest = self.latest_update.borrow_mut();
        let revisions = (base, newest.revision);
        if let Some(cached) = latest.as_ref().filter(|cached| (cached.base, cached.revision) == revisions) {
            return Some(cached.update.clone());
        }
        let update = self.update_from(base, newest);
        *latest = Some(CachedUpdate { base, revision: newest.revision, update: update.clone() });
        Some(update)
    }

    /// Computes the update from `base`: a delta only if it leads exactly to the newest configuration, since deltas
    /// carry no order of items, otherwise a snapshot.
    fn update_from(&self, base: Revision, newest: &Arc<Configuration>) -> ConfigurationUpdate {
        let snapshot = || ConfigurationUpdate::Snapshot(Arc::clone(newest));
        let Some(base) = self.earlier.iter().find(|earlier| earlier.revision == base) else {
            return snapshot();
        };
        let changes = difference::difference(base, newest);
        if difference::apply(base, &changes) != **newest {
            return snapshot();
        }
        ConfigurationUpdate::Changes(changes)
    }

    fn drop_oldest(&mut self) {
        while self.earlier.len() > self.max_earlier || self.earlier_item_count() > MAX_EARLIER_ITEMS {
            self.earlier.pop_front();
        }
    }

    fn earlier_item_count(&self) -> usize {
        self.earlier.iter().map(|earlier| item_count(earlier)).sum()
    }
}

fn item_count(configuration: &Configuration) -> usize {
    configuration.routes.len() + configuration.services.len() + configuration.tenants.len()
}
