//! The operator's orders, decided on and applied by the real agreed state.

use std::sync::Arc;

use tower::state::{Change, Decision, State};

/// An order by its number.
pub type Order = u64;

/// The change behind an order; each order names the weights of a model of its own.
pub fn change(order: Order) -> Change {
    Change::NameWeights { model: format!("model-{order}"), revision: order }
}

/// The command that a state accepts for an order; none if it knows the order already.
pub fn decide(state: &State, order: Order) -> Option<Arc<[u8]>> {
    match state.decide(&change(order)) {
        Decision::Accept(accepted) => Some(accepted.command.clone()),
        _ => None,
    }
}

/// Whether a state answers that it has taken the order.
pub fn is_taken(state: &State, order: Order) -> bool {
    state.decide(&change(order)) == Decision::AlreadyTaken
}
