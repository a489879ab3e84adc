//! The newest configuration and those before it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use tulipridge_configuration::{Configuration, ConfigurationChanges, difference};
use tulipridge_protocol::feed::ConfigurationUpdate;

use super::{FeedError, REMEMBERED_CONFIGURATIONS, Table};

/// Routes, services and tenants of all remembered configurations together, beyond which the oldest are forgotten.
const MAX_REMEMBERED_ITEMS: usize = 100_000;

/// The newest configuration, and earlier ones to tell what has changed since.
#[derive(Debug)]
pub(super) struct Configurations {
    newest: Option<Arc<Configuration>>,
    earlier: VecDeque<Arc<Configuration>>,
    max_earlier: usize,
    latest_update: RefCell<Option<KnownUpdate>>,
}

/// An update that was computed last, since many subscribers need the same.
#[derive(Debug)]
struct KnownUpdate {
    base: u64,
    revision: u64,
    update: ConfigurationUpdate,
}

impl Default for Configurations {
    fn default() -> Self {
        Self::remembering(REMEMBERED_CONFIGURATIONS)
    }
}

impl Configurations {
    pub(super) fn remembering(max_earlier: usize) -> Self {
        Configurations {
            newest: None,
            earlier: VecDeque::new(),
            max_earlier,
            latest_update: RefCell::new(None),
        }
    }

    pub(super) fn newest(&self) -> Option<&Arc<Configuration>> {
        self.newest.as_ref()
    }

    /// The newest revision; 0 is none.
    pub(super) fn revision(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.revision)
    }

    /// Takes a configuration that is newer than the one held.
    pub(super) fn take(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer = self.newest.as_ref().is_none_or(|newest| configuration.revision > newest.revision);
        if !newer {
            return false;
        }
        if let Some(before) = self.newest.replace(configuration) {
            self.earlier.push_back(before);
        }
        self.latest_update.replace(None);
        self.forget_oldest();
        true
    }

    pub(super) fn apply(&mut self, update: ConfigurationUpdate) -> Result<bool, FeedError> {
        match update {
            ConfigurationUpdate::Snapshot(configuration) => Ok(self.take(configuration)),
            ConfigurationUpdate::Changes(changes) => {
                if changes.revision <= self.revision() {
                    return Ok(false);
                }
                let base = self.newest.as_ref().filter(|newest| newest.revision == changes.base);
                let Some(base) = base else {
                    return Err(FeedError::Gap { table: Table::Configuration });
                };
                let configuration = Arc::new(difference::apply(base, &changes));
                self.take(configuration);
                self.remember_update(changes);
                Ok(true)
            }
        }
    }

    /// Keeps changes that were applied here for the subscribers that hold the same base.
    fn remember_update(&self, changes: ConfigurationChanges) {
        let known = KnownUpdate {
            base: changes.base,
            revision: changes.revision,
            update: ConfigurationUpdate::Changes(changes),
        };
        self.latest_update.replace(Some(known));
    }

    /// What leads from revision `base` to the newest; none where the base is as new.
    pub(super) fn since(&self, base: u64) -> Option<ConfigurationUpdate> {
        let newest = self.newest.as_ref().filter(|newest| newest.revision > base)?;
        let mut latest = self.latest_update.borrow_mut();
        if let Some(known) = latest.as_ref()
            && (known.base, known.revision) == (base, newest.revision)
        {
            return Some(known.update.clone());
        }
        let update = self.update_from(base, newest);
        *latest = Some(KnownUpdate { base, revision: newest.revision, update: update.clone() });
        Some(update)
    }

    /// Changes do not tell the order of items, so they are used only where they lead exactly to the newest.
    fn update_from(&self, base: u64, newest: &Arc<Configuration>) -> ConfigurationUpdate {
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

    fn forget_oldest(&mut self) {
        while self.earlier.len() > self.max_earlier || self.remembered_items() > MAX_REMEMBERED_ITEMS {
            self.earlier.pop_front();
        }
    }

    fn remembered_items(&self) -> usize {
        self.earlier.iter().map(|earlier| items(earlier)).sum()
    }
}

fn items(configuration: &Configuration) -> usize {
    configuration.routes.len() + configuration.services.len() + configuration.tenants.len()
}
