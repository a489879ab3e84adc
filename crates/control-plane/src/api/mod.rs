//! The operator's API over HTTP/1.1.
//!
//! Each route is declared beside its handler, in `settings`, `weights` and `status`.

mod connection;
mod limits;
mod message;
mod settings;
mod status;
mod weights;

use serde::Serialize;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tulipridge_http1::within;

pub use limits::ApiLimits;
pub use message::{Request, Response};
pub use status::{IndexSize, ReplicaWeights, Status};
use tulipridge_configuration::number::{Revision, WeightsRevision};

use crate::accept::accept_all;
use crate::state::Change;
use crate::tenure::Tenure;

/// How often the standing is read while no primary is known.
const STANDING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Seconds after which a caller may retry while no primary is known.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// What the API needs of the control plane.
pub trait ControlPlane: 'static {
    /// Whether this member serves the operator, and who does if it does not.
    fn standing(&self) -> Standing;
    /// Decides on a change and carries it out; returns once it is on the disks of all members that hold the data.
    fn change(&self, change: Change) -> impl Future<Output = ChangeOutcome>;
    /// The newest document, as the operator sent it; none before the first one.
    fn document(&self) -> impl Future<Output = Option<Arc<[u8]>>>;
    /// How this member sees the control plane.
    fn status(&self) -> Status;
}

/// Whether a member serves the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the primary, within its lease.
    Primary {
        /// Since when it is primary.
        tenure: Tenure,
    },
    /// Another member is the primary: a heartbeat of it came lately.
    Follower {
        /// The primary's machine.
        primary: Ipv4Addr,
    },
    /// No primary is known, or this member is the primary but has no lease.
    Unknown,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is committed, now or by an earlier request.
    Committed,
    /// It builds on another version than the current one.
    Stale {
        /// The current version.
        current: Revision,
    },
    /// The configuration is not valid.
    Invalid {
        /// What is wrong, as JSON.
        report: Arc<str>,
    },
    /// The weights are older than those named, and were never named themselves.
    OldWeights {
        /// The newest revision that was named.
        newest: WeightsRevision,
    },
    /// This member is not the primary. The change was not begun and is safe to retry.
    NotPrimary,
    /// The member stopped being primary meanwhile: the change may come into force or not.
    Unknown,
}

/// The response of a handler.
type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// A route of the API.
struct Route<C> {
    method: &'static str,
    path: &'static str,
    access: Access,
    handler: fn(Rc<C>, Request) -> ResponseFuture,
}

/// Which member handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// The primary, within its lease; others redirect the caller there.
    Primary,
    /// Any member.
    Any,
}

fn routes<C: ControlPlane>() -> [Route<C>; 5] {
    [settings::put(), settings::patch(), settings::get(), weights::put(), status::get()]
}

/// The operator's API of one member.
pub struct Api<C> {
    control: Rc<C>,
    port: u16,
    limits: ApiLimits,
    routes: [Route<C>; 5],
}

impl<C: ControlPlane> Api<C> {
    /// The API; other members have theirs at the same port.
    pub fn new(control: Rc<C>, port: u16, limits: ApiLimits) -> Api<C> {
        Api { control, port, limits, routes: routes() }
    }

    /// Accepts connections for ever.
    pub async fn serve(self: Rc<Self>, executor: &LocalExecutor<'static>, listener: Async<TcpListener>) {
        let serve = |stream| executor.spawn(connection::run(self.clone(), stream)).detach();
        accept_all(listener, "the operator", serve).await;
    }

    /// Handles a request.
    pub async fn handle(&self, request: Request) -> Response {
        let path = request.path().to_owned();
        let mut of_path = self.routes.iter().filter(|route| route.path == path).peekable();
        if of_path.peek().is_none() {
            return Response::error(404, "there is no such path");
        }
        let Some(route) = of_path.find(|route| route.method == request.method) else {
            return Response::error(405, "the path has no such method");
        };
        if route.access == Access::Any {
            return (route.handler)(self.control.clone(), request).await;
        }
        match self.known_standing().await {
            Standing::Primary { .. } => (route.handler)(self.control.clone(), request).await,
            Standing::Follower { primary } => self.redirect(primary, &request.target),
            Standing::Unknown => no_primary(),
        }
    }

    /// The member's standing, once there is a primary or the time for it is over. Callers that get a 503 back off, so it
    /// is better to have them wait a little.
    async fn known_standing(&self) -> Standing {
        let known = async {
            while self.control.standing() == Standing::Unknown {
                Timer::after(STANDING_POLL_INTERVAL).await;
            }
        };
        let _ = within(self.limits.primary_timeout, known).await;
        self.control.standing()
    }

    fn redirect(&self, primary: Ipv4Addr, target: &str) -> Response {
        let address = SocketAddr::from((primary, self.port));
        Response::error(307, "the primary answers this")
            .with_header("Location", format!("http://{address}{target}"))
    }
}

/// The response of a member that knows no primary.
fn no_primary() -> Response {
    Response::error(503, "no primary is known").with_header("Retry-After", RETRY_AFTER_SECONDS)
}

/// The response to a change that leads to a revision.
fn change_response(outcome: ChangeOutcome, revision: Option<impl Serialize>) -> Response {
    match outcome {
        ChangeOutcome::Committed => Response::json(200, &message::ChangeAccepted { revision }),
        ChangeOutcome::Stale { current } => {
            Response::json(412, &message::StaleBase { error: "another version is in place", current })
        }
        ChangeOutcome::Invalid { report } => Response::text(400, report.as_bytes().into()),
        ChangeOutcome::OldWeights { newest } => {
            Response::json(400, &message::OldWeights { error: "newer weights were named", newest })
        }
        ChangeOutcome::NotPrimary => no_primary(),
        ChangeOutcome::Unknown => Response::error(504, "the change may come into force or not"),
    }
}
