//! The operator's orders, decided on and applied by the real agreed state.
//!
//! All orders name weights of the same model, each with a revision of its own, so an order that newer ones have
//! overtaken may be refused, unless it took effect before.

use std::sync::Arc;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::state::{Change, Decision, State};

/// An order by its number.
pub(crate) type Order = u64;

/// The answer to an order.
pub(crate) enum Answer {
    /// It has taken effect before.
    Taken,
    /// It is to be agreed on.
    Agree(Arc<[u8]>),
    /// Newer orders have overtaken it.
    Refused,
}

/// What a state answers to an order.
pub(crate) fn answer(state: &State, order: Order) -> Answer {
    match state
        .decide(&Change::SetTargetRevision { model: "model".to_owned(), revision: WeightsRevision(order) })
    {
        Decision::AlreadyAccepted => Answer::Taken,
        Decision::Accept(accepted) => Answer::Agree(accepted.command.clone()),
        _ => Answer::Refused,
    }
}

/// Whether a state answers that it has taken the order.
pub(crate) fn is_taken(state: &State, order: Order) -> bool {
    matches!(answer(state, order), Answer::Taken)
}

/// Whether a command is the one of an order.
pub(crate) fn is_command_of(command: &[u8], order: Order) -> bool {
    matches!(answer(&State::default(), order), Answer::Agree(own) if *own == *command)
}
