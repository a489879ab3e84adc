//! The operator's interface over HTTP.
//!
//! Each call is declared beside its handler, in [`settings`], [`weights`] and [`status`].

mod connection;
mod message;
mod settings;
mod status;
mod weights;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tulipridge_http1::within;

pub use connection::ApiLimits;
pub use message::{Request, Response};
pub use status::{IndexSize, ReplicaWeights, Status};

use crate::accept::accept_all;
use crate::state::Change;
use crate::tenure::Tenure;

/// How often it is looked whether there is a primary, while none is known.
const STANDING_INTERVAL: Duration = Duration::from_millis(20);
/// Seconds after which a caller is told to come again while no primary is known.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// What the calls need of the control plane.
pub trait ControlPlane: 'static {
    /// Whether this member serves the operator, and who does if it does not.
    fn standing(&self) -> Standing;
    /// Decides on a change and carries it out; returns once it is agreed on all holders' disks.
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
    /// Another member, heard lately, is the primary.
    Follower {
        /// The primary's machine.
        primary: Ipv4Addr,
    },
    /// It is not known who is the primary, or this member is but has no lease.
    Unknown,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is agreed on, now or since before.
    Taken,
    /// It builds on another version than the current one.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The configuration is not valid.
    Invalid {
        /// What is wrong, as JSON.
        report: Arc<str>,
    },
    /// The weights are older than those named, and were never named themselves.
    OldWeights {
        /// The newest revision that was named.
        newest: u64,
    },
    /// This member is not the primary: it has not begun.
    NotPrimary,
    /// The member stopped being primary meanwhile: the change may come into force or not.
    Unknown,
}

type Handling = Pin<Box<dyn Future<Output = Response>>>;

/// A call of the interface.
pub(crate) struct Call<C> {
    method: &'static str,
    path: &'static str,
    access: Access,
    handler: fn(Rc<C>, Request) -> Handling,
}

/// Who answers a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// The primary, within its lease; others send the caller there.
    Primary,
    /// Any member.
    Any,
}

/// The calls.
fn calls<C: ControlPlane>() -> [Call<C>; 5] {
    [settings::put(), settings::patch(), settings::get(), weights::put(), status::get()]
}

/// The operator's interface of one member.
pub struct Api<C> {
    control: Rc<C>,
    port: u16,
    limits: ApiLimits,
    calls: [Call<C>; 5],
}

impl<C: ControlPlane> Api<C> {
    /// The interface; other members have theirs at the same port.
    pub fn new(control: Rc<C>, port: u16, limits: ApiLimits) -> Api<C> {
        Api { control, port, limits, calls: calls() }
    }

    /// Takes connections for ever.
    pub async fn serve(self: Rc<Self>, executor: &LocalExecutor<'static>, listener: Async<TcpListener>) {
        let take = |stream| executor.spawn(connection::run(self.clone(), stream)).detach();
        accept_all(listener, "the operator", take).await;
    }

    /// Answers a request.
    pub async fn answer(&self, request: Request) -> Response {
        let path = request.path().to_owned();
        let mut of_path = self.calls.iter().filter(|call| call.path == path).peekable();
        if of_path.peek().is_none() {
            return Response::error(404, "there is no such path");
        }
        let Some(call) = of_path.find(|call| call.method == request.method) else {
            return Response::error(405, "the path has no such method");
        };
        if call.access == Access::Any {
            return (call.handler)(self.control.clone(), request).await;
        }
        match self.known_standing().await {
            Standing::Primary { .. } => (call.handler)(self.control.clone(), request).await,
            Standing::Follower { primary } => self.redirect(primary, &request.target),
            Standing::Unknown => no_primary(),
        }
    }

    /// The member's standing, once there is a primary or the time for it is over. A caller that is sent away at once
    /// comes back later and later.
    async fn known_standing(&self) -> Standing {
        let known = async {
            while self.control.standing() == Standing::Unknown {
                Timer::after(STANDING_INTERVAL).await;
            }
        };
        let _ = within(self.limits.primary, known).await;
        self.control.standing()
    }

    fn redirect(&self, primary: Ipv4Addr, target: &str) -> Response {
        let address = SocketAddr::from((primary, self.port));
        Response::error(307, "the primary answers this")
            .with_header("Location", format!("http://{address}{target}"))
    }
}

/// The answer of a member that knows nobody to ask.
fn no_primary() -> Response {
    Response::error(503, "no primary is known").with_header("Retry-After", RETRY_AFTER_SECONDS)
}

/// The answer to a change that leads to a revision.
fn answer_change(outcome: ChangeOutcome, revision: Option<u64>) -> Response {
    match outcome {
        ChangeOutcome::Taken => Response::json(200, &message::Taken { revision }),
        ChangeOutcome::Stale { current } => {
            Response::json(412, &message::Stale { error: "another version is in place", current })
        }
        ChangeOutcome::Invalid { report } => Response::text(400, report.as_bytes().into()),
        ChangeOutcome::OldWeights { newest } => {
            Response::json(400, &message::OldWeights { error: "newer weights were named", newest })
        }
        ChangeOutcome::NotPrimary => no_primary(),
        ChangeOutcome::Unknown => Response::error(504, "the change may come into force or not"),
    }
}
