//! What calls have to be answered if they come one after the other: the sequential specification.

use std::collections::BTreeSet;
use std::hash::Hash;

use tulipridge_configuration::MAX_RECENT_REQUESTS;
use tulipridge_configuration::configuration_state::NO_REVISION;

use super::call::{Answer, ConfigurationMethod, ConfigurationOrder, Content, WeightsOrder};

/// An object that answers calls one after the other.
pub(crate) trait Register: Clone + Eq + Hash {
    /// What is asked.
    type Call: Copy;

    /// The answer, and the object after it; none if it stays as it is.
    fn answer(&self, call: Self::Call) -> (Answer, Option<Self>);
}

/// A call to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigurationCall {
    /// `PUT` or `PATCH`.
    Change(ConfigurationOrder),
    /// `GET`.
    Read,
}

/// The configuration: a register with versions that knows orders which are repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConfigurationRegister {
    content: Option<Content>,
    taken: Vec<ConfigurationOrder>,
    remembered_orders: usize,
}

impl Default for ConfigurationRegister {
    fn default() -> Self {
        ConfigurationRegister::remembering(MAX_RECENT_REQUESTS)
    }
}

impl ConfigurationRegister {
    /// An empty register that knows so many of the last orders again.
    pub(crate) fn remembering(remembered_orders: usize) -> Self {
        ConfigurationRegister { content: None, taken: Vec::new(), remembered_orders }
    }

    fn revision(&self) -> u64 {
        self.content.as_ref().map_or(NO_REVISION.0, |content| content.revision)
    }

    fn remembers(&self, order: &ConfigurationOrder) -> bool {
        self.taken.iter().rev().take(self.remembered_orders).any(|taken| taken == order)
    }

    /// The content after a valid order; none if the order is not valid.
    fn next_content(&self, order: &ConfigurationOrder) -> Option<Content> {
        let revision = order.revision;
        if revision <= self.revision() {
            return None;
        }
        match (order.method, &self.content) {
            (ConfigurationMethod::Put, _) => Some(Content { revision, marks: vec![order.mark] }),
            (ConfigurationMethod::Patch, None) => None,
            (ConfigurationMethod::Patch, Some(content)) => {
                let mut marks = content.marks.clone();
                marks.push(order.mark);
                marks.sort_unstable();
                marks.dedup();
                Some(Content { revision, marks })
            }
        }
    }

    fn answer_change(&self, order: ConfigurationOrder) -> (Answer, Option<Self>) {
        if self.remembers(&order) {
            return (Answer::Taken, None);
        }
        let current = self.revision();
        if order.base != current {
            return (Answer::Stale { current }, None);
        }
        let Some(content) = self.next_content(&order) else { return (Answer::Invalid, None) };
        let mut taken = self.taken.clone();
        taken.push(order);
        let next = ConfigurationRegister { content: Some(content), taken, ..*self };
        (Answer::Taken, Some(next))
    }
}

impl Register for ConfigurationRegister {
    type Call = ConfigurationCall;

    fn answer(&self, call: ConfigurationCall) -> (Answer, Option<Self>) {
        match call {
            ConfigurationCall::Change(order) => self.answer_change(order),
            ConfigurationCall::Read => (Answer::Configuration(self.content.clone()), None),
        }
    }
}

/// The weights of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct WeightsRegister {
    named: BTreeSet<u64>,
}

impl Register for WeightsRegister {
    type Call = WeightsOrder;

    fn answer(&self, order: WeightsOrder) -> (Answer, Option<Self>) {
        if self.named.contains(&order.revision) {
            return (Answer::Taken, None);
        }
        match self.named.last() {
            Some(newest) if *newest > order.revision => (Answer::OldWeights { newest: *newest }, None),
            _ => {
                let mut named = self.named.clone();
                named.insert(order.revision);
                (Answer::Taken, Some(WeightsRegister { named }))
            }
        }
    }
}
