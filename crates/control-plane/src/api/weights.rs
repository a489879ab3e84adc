//! `POST /version-put`: sets the target revision of a model's weights.

use std::rc::Rc;

use serde::Deserialize;
use tulipridge_configuration::number::WeightsRevision;

use super::{Access, ControlPlane, Request, Response, ResponseFuture, Route, change_response};
use crate::state::Change;

#[derive(Deserialize)]
struct VersionPut {
    #[serde(rename = "llm")]
    model: String,
    revision: WeightsRevision,
}

/// The route that sets a target revision.
pub(super) fn put<C: ControlPlane>() -> Route<C> {
    Route { method: "POST", path: "/version-put", access: Access::Primary, handler: handle }
}

fn handle<C: ControlPlane>(control: Rc<C>, request: Request) -> ResponseFuture {
    Box::pin(async move {
        match serde_json::from_slice::<VersionPut>(&request.body) {
            Ok(VersionPut { model, revision }) => change_response(
                control.change(Change::SetTargetRevision { model, revision }).await,
                Some(revision),
            ),
            Err(error) => Response::error(400, &format!("the body can't be read: {error}")),
        }
    })
}
