//! The operator's requests, decided on and applied by the real replicated state.
//!
//! All requests name weights of the same model, each with a revision of its own, so a request that newer ones
//! have superseded may be refused, unless it took effect before.

use std::sync::Arc;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::state::{Change, Decision, State};

/// A request, identified by its revision.
pub(crate) type RequestId = u64;

/// The response to a request.
pub(crate) enum Response {
    /// The request took effect before.
    AlreadyApplied,
    /// The command has to be proposed.
    Propose(Arc<[u8]>),
    /// Newer requests have superseded it.
    Refused,
}

/// The response of a state to a request.
pub(crate) fn respond(state: &State, request: RequestId) -> Response {
    match state.decide(&Change::SetTargetRevision {
        model: "model".to_owned(),
        revision: WeightsRevision(request),
    }) {
        Decision::AlreadyAccepted => Response::AlreadyApplied,
        Decision::Accept(accepted) => Response::Propose(accepted.command.clone()),
        _ => Response::Refused,
    }
}

/// Whether a state responds that it has applied the request.
pub(crate) fn is_applied(state: &State, request: RequestId) -> bool {
    matches!(respond(state, request), Response::AlreadyApplied)
}

/// Whether a command belongs to a request.
pub(crate) fn is_command_of(command: &[u8], request: RequestId) -> bool {
    matches!(respond(&State::default(), request), Response::Propose(own) if *own == *command)
}
