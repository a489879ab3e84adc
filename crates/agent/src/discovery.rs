//! Discovers the members of the control plane.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;

use tulipridge_peer_sampling::{Exchange, View};
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::peer_sampling::{Entry, Role};
use tulipridge_runtime::settings::Settings;
use tulipridge_subscription::FeedStore;

use crate::bind::bind_with_retry;

/// Discovers control-plane members from the feed and from the exchanged partial views.
pub(crate) struct Discovery {
    store: Rc<RefCell<FeedStore>>,
    /// The exchange of partial views; `None` until its port is bound.
    exchange: RefCell<Option<Rc<Exchange>>>,
}

impl Discovery {
    /// Creates a discovery that knows only the members in `store` until [`Discovery::exchange_views`] runs.
    pub(crate) fn new(store: Rc<RefCell<FeedStore>>) -> Self {
        Discovery { store, exchange: RefCell::new(None) }
    }

    /// The known members. If a member occurs in both sources, the entry from the feed comes last and takes precedence.
    pub(crate) fn members(&self) -> Vec<ControlNode> {
        let mut members =
            self.exchange.borrow().as_ref().map(|exchange| exchange.control_nodes()).unwrap_or_default();
        members.extend(self.store.borrow().cluster_membership().control.iter().cloned());
        members
    }

    /// Replaces the seeds of the partial view.
    pub(crate) fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        if let Some(exchange) = &*self.exchange.borrow() {
            exchange.set_seeds(seeds);
        }
    }

    /// Exchanges partial views; never returns.
    pub(crate) async fn exchange_views(&self, settings: &Settings) {
        let address = settings.peer_sampling_socket(settings.ip_address);
        // A restarted process is a new incarnation, so it gets a new random generation.
        let id = NodeId::new(settings.ip_address, Generation(fastrand::u64(1..)));
        let own_entry = Entry { id, role: Role::Agent, zone: settings.area.clone(), age: 0 };
        let exchange = bind_with_retry(address, || {
            let view = View::new(own_entry.clone(), settings.seed_ips(), fastrand::u64(..));
            Exchange::bind(address, view, fastrand::u64(..))
        })
        .await;
        let exchange = Rc::new(exchange);
        *self.exchange.borrow_mut() = Some(Rc::clone(&exchange));
        exchange.run().await;
    }
}
