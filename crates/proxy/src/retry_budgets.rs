//! The retry budgets of all services.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use crate::placement::budget::{RetryAllowance, RetryBudget};

/// A retry budget for each service, with the allowance and the number of proxies that all budgets are derived from.
pub struct RetryBudgets {
    allowance: Cell<RetryAllowance>,
    /// The number of proxies that share the allowance of the fleet; 0 until it is known.
    proxy_count: Cell<u32>,
    budgets: RefCell<BTreeMap<String, RetryBudget>>,
}

impl RetryBudgets {
    /// No budgets yet. The budget of a service is created at the first send of a request to it.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> RetryBudgets {
        RetryBudgets {
            allowance: Cell::new(allowance),
            proxy_count: Cell::new(0),
            budgets: RefCell::default(),
        }
    }

    /// Sets the allowance of the fleet. If it changes, all budgets are discarded and start empty again.
    pub fn set_allowance(&self, allowance: RetryAllowance) {
        if self.allowance.replace(allowance) != allowance {
            self.budgets.borrow_mut().clear();
        }
    }

    /// Sets the number of proxies that share the allowance of the fleet.
    pub fn set_proxy_count(&self, proxy_count: u32) {
        self.proxy_count.set(proxy_count);
        self.budgets.borrow_mut().values_mut().for_each(|budget| budget.set_proxy_count(proxy_count));
    }

    /// Whether the budget of a service has a token for a retry.
    pub fn has_token(&self, service: &str) -> bool {
        self.budgets.borrow().get(service).is_some_and(RetryBudget::has_token)
    }

    /// Takes a token for a retry from the budget of a service. Returns false if there is none.
    pub fn take_token(&self, service: &str) -> bool {
        self.budgets.borrow_mut().get_mut(service).is_some_and(RetryBudget::take_token)
    }

    /// Records the first send of a request, which adds a fraction of a token to the budget of the service.
    pub fn record_first_send(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return budget.record_first_send();
        }
        let mut budget = self.new_budget();
        budget.record_first_send();
        budgets.insert(service.to_owned(), budget);
    }

    fn new_budget(&self) -> RetryBudget {
        let mut budget = RetryBudget::new(self.allowance.get());
        if self.proxy_count.get() > 0 {
            budget.set_proxy_count(self.proxy_count.get());
        }
        budget
    }
}
