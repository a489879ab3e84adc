//! `PUT`, `PATCH` and `GET /settings`: the operator's configuration.

use std::num::ParseIntError;
use std::rc::Rc;

use serde::Deserialize;
use tulipridge_configuration::number::Revision;

use super::{
    Access, ControlPlane, PrimaryStatus, Request, Response, ResponseFuture, Route, change_response,
    no_primary,
};
use crate::state::Change;

const PATH: &str = "/settings";

/// The route that replaces the configuration.
pub(super) fn put<C: ControlPlane>() -> Route<C> {
    Route { method: "PUT", path: PATH, access: Access::Primary, handler: handle_put }
}

/// The route that changes items of the configuration.
pub(super) fn patch<C: ControlPlane>() -> Route<C> {
    Route { method: "PATCH", path: PATH, access: Access::Primary, handler: handle_patch }
}

/// The route that reads the current configuration.
pub(super) fn get<C: ControlPlane>() -> Route<C> {
    Route { method: "GET", path: PATH, access: Access::Primary, handler: handle_get }
}

fn handle_put<C: ControlPlane>(control: Rc<C>, request: Request) -> ResponseFuture {
    Box::pin(async move {
        let Ok(if_match) = base_version(&request) else { return invalid_base_version() };
        let revision = stated_revision(&request.body);
        let change = Change::PutConfiguration { if_match, body: request.body };
        change_response(control.change(change).await, revision)
    })
}

fn handle_patch<C: ControlPlane>(control: Rc<C>, request: Request) -> ResponseFuture {
    Box::pin(async move {
        let Ok(if_match) = base_version(&request) else { return invalid_base_version() };
        let revision = stated_revision(&request.body);
        let change = Change::PatchConfiguration { if_match, body: request.body };
        change_response(control.change(change).await, revision)
    })
}

fn handle_get<C: ControlPlane>(control: Rc<C>, _: Request) -> ResponseFuture {
    Box::pin(async move {
        let status = control.primary_status();
        let document = control.document().await;
        // Another primary may have committed a newer document while this one was read.
        let is_current =
            control.primary_status() == status && matches!(status, PrimaryStatus::Primary { .. });
        if !is_current {
            return no_primary();
        }
        match document {
            Some(document) => Response::text(200, document),
            None => Response::error(404, "there is no configuration yet"),
        }
    })
}

/// The revision in `If-Match`, which a change builds on; `None` without the header.
fn base_version(request: &Request) -> Result<Option<Revision>, ParseIntError> {
    let Some(value) = request.head.get("if-match") else { return Ok(None) };
    value.trim().trim_matches('"').parse().map(|revision| Some(Revision(revision)))
}

fn invalid_base_version() -> Response {
    Response::error(400, "If-Match must be the version that the change builds on")
}

#[derive(Deserialize)]
struct StatedRevision {
    revision: Revision,
}

/// The revision stated in a change's body, if it can be parsed. It is only echoed in the response.
fn stated_revision(body: &[u8]) -> Option<Revision> {
    serde_json::from_slice::<StatedRevision>(body).ok().map(|stated| stated.revision)
}
