//! The newest configuration, and whether it is fresh enough to admit requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_configuration::{ClientLimits, Configuration};
use tulipridge_http1::Http1Limits;

use crate::admission::Routing;
use crate::bounds::client_limits;
use crate::freshness::{Credentials, FreshnessGate};

/// Returns the time since the configuration was last known to be the newest. None if it never was.
pub type ConfigurationAge = Box<dyn Fn() -> Option<Duration>>;

/// The newest configuration, with the lookup tables and limits that are derived from it.
pub struct ActiveConfiguration {
    routing: RefCell<Option<Rc<Routing>>>,
    client_limits: RefCell<Rc<Http1Limits>>,
    gate: Cell<FreshnessGate>,
    age: ConfigurationAge,
}

impl ActiveConfiguration {
    /// No configuration yet.
    #[must_use]
    pub fn new(gate: FreshnessGate, age: ConfigurationAge) -> ActiveConfiguration {
        ActiveConfiguration {
            routing: RefCell::default(),
            client_limits: RefCell::new(Rc::new(client_limits(&ClientLimits::default()))),
            gate: Cell::new(gate),
            age,
        }
    }

    /// Replaces the configuration.
    pub fn set(&self, configuration: Arc<Configuration>) {
        *self.client_limits.borrow_mut() = Rc::new(client_limits(&configuration.caps));
        *self.routing.borrow_mut() = Some(Routing::new(configuration));
    }

    /// Sets the maximum ages up to which the configuration may be used.
    pub fn set_gate(&self, gate: FreshnessGate) {
        self.gate.set(gate);
    }

    /// The newest configuration, if it is fresh enough to admit requests with these credentials.
    pub fn routing(&self, credentials: Credentials) -> Option<Rc<Routing>> {
        let routing = self.routing.borrow();
        routing.as_ref().filter(|_| self.gate.get().is_open((self.age)(), credentials)).cloned()
    }

    /// Whether the configuration is fresh enough for the requests that most clients send.
    pub fn is_fresh(&self) -> bool {
        let requires_key =
            self.routing.borrow().as_ref().is_some_and(|routing| routing.configuration.requires_key);
        let credentials = if requires_key { Credentials::Key } else { Credentials::None };
        self.routing(credentials).is_some()
    }

    /// The HTTP limits of clients' connections.
    pub fn client_limits(&self) -> Rc<Http1Limits> {
        self.client_limits.borrow().clone()
    }

    /// The operator's caps on clients.
    pub fn caps(&self) -> ClientLimits {
        self.routing
            .borrow()
            .as_ref()
            .map_or_else(ClientLimits::default, |routing| routing.configuration.caps)
    }
}
