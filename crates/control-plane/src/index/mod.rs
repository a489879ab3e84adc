//! Follows the cache events of stores and replicas while this member is primary, and delivers updates of the
//! prefix-cache index.
//!
//! Following the sources is a singleton role: only the primary within its lease polls them.

mod follower;
mod outbox;
mod response;

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
use tulipridge_protocol::number::Epoch;

pub use follower::{Follower, SourceKind};
pub use outbox::{Outbox, Urgency};
pub use response::{ResponseError, parse_event_page, parse_listing};

use crate::singleton::{SingletonContext, SingletonLease};
use crate::tenure::Tenure;

/// Time for which updates are collected into a batch, unless one is urgent.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The set of sources is refreshed once in this number of batches.
const BATCHES_PER_REFRESH: u32 = 5;

/// The kinds of the sources to follow, by address.
pub type Sources = BTreeMap<SocketAddrV4, SourceKind>;

/// Provides the configuration and the current index, and delivers updates of the index.
pub trait IndexOutput {
    /// The operator's newest configuration, or `None` before the first one.
    fn configuration(&self) -> Option<Arc<Configuration>>;
    /// The status of a source, or `None` if it was not followed before.
    fn status(&self, source: SocketAddrV4) -> Option<SourceStatus>;
    /// All sources in the index.
    fn known_sources(&self) -> Vec<SocketAddrV4>;
    /// Delivers updates, as primary of `epoch`.
    fn deliver(&self, epoch: Epoch, updates: &[CacheUpdate]);
}

/// Follows all sources while this member is primary.
pub struct CacheFollowers {
    context: SingletonContext,
    output: Rc<dyn IndexOutput>,
    outbox: Rc<Outbox>,
    /// The tenure in which the followers were started, or `None` while another member is primary.
    tenure: Option<Tenure>,
    followers: BTreeMap<SocketAddrV4, Task<()>>,
}

impl CacheFollowers {
    /// Creates followers for the stores of the configuration and the replicas of the table. None is started yet.
    pub fn new(context: SingletonContext, output: Rc<dyn IndexOutput>) -> CacheFollowers {
        CacheFollowers { context, output, outbox: Rc::default(), tenure: None, followers: BTreeMap::new() }
    }

    /// Follows the sources while this member is primary; does not return.
    pub async fn run(mut self) {
        let mut batches = 0;
        loop {
            self.run_batch(batches % BATCHES_PER_REFRESH == 0);
            batches = batches.wrapping_add(1);
            let batch_interval = async {
                Timer::after(BATCH_INTERVAL).await;
            };
            future::or(self.outbox.wait_urgent(), batch_interval).await;
        }
    }

    fn run_batch(&mut self, refresh_is_due: bool) {
        let lease = self.context.lease_status.singleton_lease();
        self.reset_on_new_tenure(lease);
        let Some(lease) = lease else { return };
        if refresh_is_due || self.followers.is_empty() {
            self.refresh_sources(lease);
        }
        self.deliver_batch(lease);
    }

    /// Drops the followers and queued updates of another tenure, because another primary may have delivered newer
    /// updates.
    fn reset_on_new_tenure(&mut self, lease: Option<SingletonLease>) {
        let tenure = lease.map(|lease| lease.tenure);
        if tenure != self.tenure {
            self.followers.clear();
            self.outbox.take();
            self.tenure = tenure;
        }
    }

    fn deliver_batch(&self, lease: SingletonLease) {
        let updates = self.outbox.take();
        if !updates.is_empty() {
            self.output.deliver(lease.epoch, &updates);
        }
    }

    /// Starts followers for new sources, and removes sources that no longer exist.
    fn refresh_sources(&mut self, lease: SingletonLease) {
        let Some(configuration) = self.output.configuration() else { return };
        let Some(replicas) = self.context.table.borrow().replicas(lease.tenure) else {
            // Before the first complete list it is unknown which replicas no longer exist.
            return self.follow(store_sources(&configuration));
        };
        let wanted = sources(&configuration, &replicas);
        self.followers.retain(|source, _| wanted.contains_key(source));
        for source in self.output.known_sources() {
            if !wanted.contains_key(&source) {
                self.outbox.push(CacheUpdate::gone(source), Urgency::Batched);
            }
        }
        self.follow(wanted);
    }

    fn follow(&mut self, wanted: Sources) {
        for (source, kind) in wanted {
            self.followers.entry(source).or_insert_with(|| {
                let status = self.output.status(source);
                let follower = Follower::new(source, kind, status, self.outbox.clone());
                self.context.executor.spawn(follower.run())
            });
        }
    }
}

/// Returns the sources to follow: the stores of a configuration, and the replicas whose service has a KV cache.
#[must_use]
pub fn sources(configuration: &Configuration, replicas: &[Replica]) -> Sources {
    let mut sources = store_sources(configuration);
    let has_cache = |service: &str| {
        let service = configuration.services.iter().find(|known| known.label == service);
        let runtime = service.and_then(|service| service.runtime.as_ref());
        runtime.is_some_and(|runtime| runtime.cache_tokens > 0)
    };
    let replicas = replicas.iter().filter(|replica| has_cache(&replica.service));
    let addresses = replicas.filter_map(|replica| replica.address.parse().ok());
    sources.extend(addresses.map(|address| (address, SourceKind::Replica)));
    sources
}

fn store_sources(configuration: &Configuration) -> Sources {
    let addresses = configuration.services.iter().filter_map(|service| service.store_address.as_deref());
    addresses
        .filter_map(|address| address.parse().ok())
        .map(|address| (address, SourceKind::Store))
        .collect()
}
