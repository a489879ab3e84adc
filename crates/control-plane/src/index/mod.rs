//! The duty of following what stores and replicas keep of prompts.

mod answer;
mod follower;
mod outbox;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use tulipridge_configuration::Configuration;
use tulipridge_prefix_cache_index::{CacheUpdate, SourceStatus};
use tulipridge_protocol::feed::Replica;

pub use answer::{AnswerError, read_events, read_list};
pub use follower::{Follower, SourceKind};
pub use outbox::Outbox;

use crate::singleton::{SingletonContext, SingletonLease};
use crate::tenure::Tenure;

/// Time for which changes are gathered before they are delivered.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds from one look at which sources there are to the next.
const ROUNDS_PER_LOOK: u32 = 5;

/// Sources to follow, by address.
pub type Sources = BTreeMap<SocketAddrV4, SourceKind>;

/// Where the changes go, and where the sources are learned from.
pub trait IndexOutput {
    /// The operator's newest configuration.
    fn configuration(&self) -> Option<Arc<Configuration>>;
    /// What is known of a source.
    fn status(&self, source: SocketAddrV4) -> Option<SourceStatus>;
    /// All sources of which something is known.
    fn known_sources(&self) -> Vec<SocketAddrV4>;
    /// Delivers changes, as primary of `epoch`.
    fn deliver(&self, epoch: u64, updates: &[CacheUpdate]);
}

/// Follows all sources while this member has the duty.
pub struct KeptIndex {
    context: SingletonContext,
    output: Rc<dyn IndexOutput>,
    outbox: Rc<Outbox>,
    tenure: Option<Tenure>,
    followers: BTreeMap<SocketAddrV4, Task<()>>,
}

impl KeptIndex {
    /// Follows stores of the configuration and replicas of the table.
    pub fn new(context: SingletonContext, output: Rc<dyn IndexOutput>) -> KeptIndex {
        KeptIndex { context, output, outbox: Rc::default(), tenure: None, followers: BTreeMap::new() }
    }

    /// Follows them for ever.
    pub async fn run(mut self) {
        let mut rounds = 0;
        loop {
            self.heed_duty(rounds % ROUNDS_PER_LOOK == 0);
            rounds = rounds.wrapping_add(1);
            let batch = async {
                Timer::after(BATCH_INTERVAL).await;
            };
            future::or(self.outbox.urgent(), batch).await;
        }
    }

    fn heed_duty(&mut self, looks_for_sources: bool) {
        let duty = self.context.lease_status.singleton_lease();
        let tenure = duty.map(|duty| duty.tenure);
        if tenure != self.tenure {
            // Another member may have followed the sources since.
            self.followers.clear();
            self.outbox.take();
            self.tenure = tenure;
        }
        let Some(duty) = duty else { return };
        if looks_for_sources || self.followers.is_empty() {
            self.look_for_sources(duty);
        }
        let updates = self.outbox.take();
        if !updates.is_empty() {
            self.output.deliver(duty.epoch, &updates);
        }
    }

    /// Begins to follow sources that are new, and forgets those that are gone.
    fn look_for_sources(&mut self, duty: SingletonLease) {
        let Some(configuration) = self.output.configuration() else { return };
        let Some(replicas) = self.context.table.borrow().replicas(duty.tenure) else {
            // Whether a replica is gone is not known before the first list.
            return self.follow(stores(&configuration));
        };
        let wanted = sources(&configuration, &replicas);
        self.followers.retain(|source, _| wanted.contains_key(source));
        for source in self.output.known_sources() {
            if !wanted.contains_key(&source) {
                self.outbox.push(CacheUpdate::gone(source), false);
            }
        }
        self.follow(wanted);
    }

    fn follow(&mut self, wanted: Sources) {
        for (source, kind) in wanted {
            self.followers.entry(source).or_insert_with(|| {
                let known = self.output.status(source);
                let follower = Follower::new(source, kind, known, self.outbox.clone());
                self.context.executor.spawn(follower.run())
            });
        }
    }
}

/// The stores of a configuration, and the replicas that keep KV cache.
#[must_use]
pub fn sources(configuration: &Configuration, replicas: &[Replica]) -> Sources {
    let mut sources = stores(configuration);
    let keeps_cache = |service: &str| {
        let service = configuration.services.iter().find(|known| known.label == service);
        let runtime = service.and_then(|service| service.runtime.as_ref());
        runtime.is_some_and(|runtime| runtime.cache_tokens > 0)
    };
    let replicas = replicas.iter().filter(|replica| keeps_cache(&replica.service));
    let addresses = replicas.filter_map(|replica| replica.address.parse().ok());
    sources.extend(addresses.map(|address| (address, SourceKind::Replica)));
    sources
}

fn stores(configuration: &Configuration) -> Sources {
    let addresses = configuration.services.iter().filter_map(|service| service.store_address.as_deref());
    addresses
        .filter_map(|address| address.parse().ok())
        .map(|address| (address, SourceKind::Store))
        .collect()
}
