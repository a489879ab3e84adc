//! The operator's HTTP/1.1 API.
//!
//! The modules `settings`, `weights` and `status` declare each route beside its handler.

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

/// Interval at which the primary status is polled while no primary is known.
const PRIMARY_STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Value of `Retry-After`, in seconds, while no primary is known.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// The operations of the control plane that the API is built on.
pub trait ControlPlane: 'static {
    /// Whether this member serves the operator; otherwise, which member does, if that is known.
    fn primary_status(&self) -> PrimaryStatus;
    /// Decides on a change and commits it. Returns once the change is on the disks of all data replicas.
    fn change(&self, change: Change) -> impl Future<Output = ChangeOutcome>;
    /// The current configuration document as the operator sent it; `None` before the first one.
    fn document(&self) -> impl Future<Output = Option<Arc<[u8]>>>;
    /// The control plane as this member sees it.
    fn status(&self) -> Status;
}

/// Whether a member serves the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryStatus {
    /// The member is the primary, within its lease.
    Primary {
        /// Identifies the member's uninterrupted time as primary.
        tenure: Tenure,
    },
    /// Another member is the primary, according to a recent heartbeat.
    Follower {
        /// The address of the primary's machine.
        primary: Ipv4Addr,
    },
    /// No primary is known, or this member is the primary but has no lease.
    Unknown,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is committed, by this request or an earlier one.
    Committed,
    /// The change builds on a revision of the configuration other than the current one.
    Stale {
        /// The current revision.
        current: Revision,
    },
    /// The configuration is invalid.
    Invalid {
        /// The findings as JSON.
        report: Arc<str>,
    },
    /// The revision of the weights is older than the target revision and isn't known to have been a target before.
    OldWeights {
        /// The target revision.
        newest: WeightsRevision,
    },
    /// This member is not the primary. The change was not started and is safe to retry.
    NotPrimary,
    /// The change may or may not come into force. For example, the member was deposed as primary, or the commit timed
    /// out.
    Unknown,
}

/// The future of a handler's response.
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
    /// The primary, within its lease. Other members redirect the client to it.
    Primary,
    /// Any member.
    Any,
}

fn routes<C: ControlPlane>() -> [Route<C>; 5] {
    [settings::put(), settings::patch(), settings::get(), weights::put(), status::get()]
}

/// The API server of one member.
pub struct Api<C> {
    control: Rc<C>,
    port: u16,
    limits: ApiLimits,
    routes: [Route<C>; 5],
}

impl<C: ControlPlane> Api<C> {
    /// Creates the API. All members serve it on the same `port`, which redirects rely on.
    pub fn new(control: Rc<C>, port: u16, limits: ApiLimits) -> Api<C> {
        Api { control, port, limits, routes: routes() }
    }

    /// Accepts and serves connections forever.
    pub async fn serve(self: Rc<Self>, executor: &LocalExecutor<'static>, listener: Async<TcpListener>) {
        let serve = |stream| executor.spawn(connection::run(self.clone(), stream)).detach();
        accept_all(listener, "the operator", serve).await;
    }

    /// Dispatches a request to the handler of its route, or redirects it to the primary.
    pub async fn handle(&self, request: Request) -> Response {
        let path = request.path().to_owned();
        let mut path_routes = self.routes.iter().filter(|route| route.path == path).peekable();
        if path_routes.peek().is_none() {
            return Response::error(404, "there is no such path");
        }
        let Some(route) = path_routes.find(|route| route.method == request.method) else {
            return Response::error(405, "the path has no such method");
        };
        if route.access == Access::Any {
            return (route.handler)(self.control.clone(), request).await;
        }
        match self.known_primary_status().await {
            PrimaryStatus::Primary { .. } => (route.handler)(self.control.clone(), request).await,
            PrimaryStatus::Follower { primary } => self.redirect(primary, &request.target),
            PrimaryStatus::Unknown => no_primary(),
        }
    }

    /// Waits until a primary is known or `primary_timeout` has passed, and returns the primary status. Waiting is
    /// cheaper for clients than a 503, after which they back off.
    async fn known_primary_status(&self) -> PrimaryStatus {
        let known = async {
            while self.control.primary_status() == PrimaryStatus::Unknown {
                Timer::after(PRIMARY_STATUS_POLL_INTERVAL).await;
            }
        };
        let _ = within(self.limits.primary_timeout, known).await;
        self.control.primary_status()
    }

    fn redirect(&self, primary: Ipv4Addr, target: &str) -> Response {
        let address = SocketAddr::from((primary, self.port));
        Response::error(307, "the primary answers this")
            .with_header("Location", format!("http://{address}{target}"))
    }
}

/// The response while no primary is known.
fn no_primary() -> Response {
    Response::error(503, "no primary is known").with_header("Retry-After", RETRY_AFTER_SECONDS)
}

/// The response to a change that results in `revision`.
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
