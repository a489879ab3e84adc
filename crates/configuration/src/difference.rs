//! Differences between two configurations, computed and applied item by item.

use std::collections::{HashMap, HashSet};

use musli::{Decode, Encode};

use crate::model::{ClientLimits, Configuration, Labelled, Route, Service, Tenant};
use crate::number::Revision;

/// Changes from one revision to another. Items are identified by their labels.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationChanges {
    /// The revision to which the changes apply.
    pub base: Revision,
    /// The revision after the changes.
    pub revision: Revision,
    /// Added and replaced routes.
    pub routes: Vec<Route>,
    /// Labels of the removed routes.
    pub removed_routes: Vec<String>,
    /// Added and replaced services.
    pub services: Vec<Service>,
    /// Labels of the removed services.
    pub removed_services: Vec<String>,
    /// Added and replaced tenants.
    pub tenants: Vec<Tenant>,
    /// Labels of the removed tenants.
    pub removed_tenants: Vec<String>,
    /// The new limits on clients; `None` if they are unchanged.
    pub caps: Option<ClientLimits>,
    /// The new value of [`Configuration::requires_key`]; `None` if it is unchanged.
    pub requires_key: Option<bool>,
}

/// Computes the changes from `old` to `new`.
#[must_use]
pub fn difference(old: &Configuration, new: &Configuration) -> ConfigurationChanges {
    let routes = list_changes(&old.routes, &new.routes);
    let services = list_changes(&old.services, &new.services);
    let tenants = list_changes(&old.tenants, &new.tenants);
    ConfigurationChanges {
        base: old.revision,
        revision: new.revision,
        routes: routes.changed,
        removed_routes: routes.removed,
        services: services.changed,
        removed_services: services.removed,
        tenants: tenants.changed,
        removed_tenants: tenants.removed,
        caps: (old.caps != new.caps).then_some(new.caps),
        requires_key: (old.requires_key != new.requires_key).then_some(new.requires_key),
    }
}

/// Applies changes to `old`. Remaining items keep their order; added items follow them.
///
/// The caller must check that `old` has the revision to which the changes apply (`changes.base`).
#[must_use]
pub fn apply(old: &Configuration, changes: &ConfigurationChanges) -> Configuration {
    Configuration {
        revision: changes.revision,
        routes: merged_items(&old.routes, &changes.routes, &changes.removed_routes),
        services: merged_items(&old.services, &changes.services, &changes.removed_services),
        caps: changes.caps.unwrap_or(old.caps),
        requires_key: changes.requires_key.unwrap_or(old.requires_key),
        tenants: merged_items(&old.tenants, &changes.tenants, &changes.removed_tenants),
    }
}

/// Changes of one list of items.
struct ListChanges<T> {
    /// Items of the new list that are missing or different in the old one.
    changed: Vec<T>,
    /// Labels that occur only in the old list.
    removed: Vec<String>,
}

fn list_changes<T: Labelled + Clone + PartialEq>(old: &[T], new: &[T]) -> ListChanges<T> {
    let old_by_label: HashMap<&str, &T> = old.iter().map(|item| (item.label(), item)).collect();
    let new_labels: HashSet<&str> = new.iter().map(Labelled::label).collect();
    let is_changed = |item: &&T| old_by_label.get(item.label()) != Some(item);
    let changed = new.iter().filter(is_changed).cloned().collect();
    let is_removed = |label: &&str| !new_labels.contains(label);
    let removed = old.iter().map(Labelled::label).filter(is_removed).map(str::to_owned).collect();
    ListChanges { changed, removed }
}

fn merged_items<T: Labelled + Clone + PartialEq>(old: &[T], changed: &[T], removed: &[String]) -> Vec<T> {
    let removed: HashSet<&str> = removed.iter().map(String::as_str).collect();
    let mut changed_by_label: HashMap<&str, &T> = changed.iter().map(|item| (item.label(), item)).collect();
    let mut merged = Vec::with_capacity(old.len() + changed.len());
    for item in old.iter().filter(|item| !removed.contains(item.label())) {
        let replacement = changed_by_label.remove(item.label());
        merged.push(replacement.unwrap_or(item).clone());
    }
    let is_new = |item: &&T| changed_by_label.contains_key(item.label());
    merged.extend(changed.iter().filter(is_new).cloned());
    merged
}
