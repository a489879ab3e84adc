//! `PUT`, `PATCH` and `GET /settings`: the operator's configuration.

use std::num::ParseIntError;
use std::rc::Rc;

use serde::Deserialize;

use super::{Access, Call, ControlPlane, Handling, Request, Response, Standing, answer_change, no_primary};
use crate::state::Change;

const PATH: &str = "/settings";

/// Puts a whole configuration in the place of the one that it builds on.
pub(super) fn put<C: ControlPlane>() -> Call<C> {
    Call { method: "PUT", path: PATH, access: Access::Primary, handler: handle_put }
}

/// Changes named items of the configuration that it builds on.
pub(super) fn patch<C: ControlPlane>() -> Call<C> {
    Call { method: "PATCH", path: PATH, access: Access::Primary, handler: handle_patch }
}

/// Reads the newest configuration.
pub(super) fn get<C: ControlPlane>() -> Call<C> {
    Call { method: "GET", path: PATH, access: Access::Primary, handler: handle_get }
}

fn handle_put<C: ControlPlane>(control: Rc<C>, request: Request) -> Handling {
    Box::pin(async move {
        let Ok(if_match) = base(&request) else { return bad_base() };
        let revision = stated_revision(&request.body);
        let change = Change::PutConfiguration { if_match, body: request.body };
        answer_change(control.change(change).await, revision)
    })
}

fn handle_patch<C: ControlPlane>(control: Rc<C>, request: Request) -> Handling {
    Box::pin(async move {
        let Ok(if_match) = base(&request) else { return bad_base() };
        let revision = stated_revision(&request.body);
        let change = Change::PatchConfiguration { if_match, body: request.body };
        answer_change(control.change(change).await, revision)
    })
}

fn handle_get<C: ControlPlane>(control: Rc<C>, _: Request) -> Handling {
    Box::pin(async move {
        let standing = control.standing();
        let document = control.document().await;
        // Another primary may have taken a newer one while this one was read.
        let is_unbroken = control.standing() == standing && matches!(standing, Standing::Primary { .. });
        if !is_unbroken {
            return no_primary();
        }
        match document {
            Some(document) => Response::text(200, document),
            None => Response::error(404, "there is no configuration yet"),
        }
    })
}

/// The version that a change builds on; none where it names none.
fn base(request: &Request) -> Result<Option<u64>, ParseIntError> {
    let Some(value) = request.head.get("if-match") else { return Ok(None) };
    value.trim().trim_matches('"').parse().map(Some)
}

fn bad_base() -> Response {
    Response::error(400, "If-Match must be the version that the change builds on")
}

#[derive(Deserialize)]
struct StatedRevision {
    revision: u64,
}

/// The revision that a change leads to, as far as that can be read.
fn stated_revision(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<StatedRevision>(body).ok().map(|stated| stated.revision)
}
