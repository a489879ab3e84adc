//! Deployments: control-plane members and edge machines with the real programs, and stand-ins around them.
//!
//! `system` has the deployment and its start; faults, observations, settings and relays are methods in modules of their
//! own.

mod faults;
mod machines;
mod observe;
mod relays;
mod settings;
mod settings_file;
mod system;
mod topology;

pub use self::machines::{Edge, Member};
pub use self::observe::ClientRequest;
pub(crate) use self::system::ZONE;
pub use self::system::{CONVERGENCE_TIMEOUT, Deployment};
pub use self::topology::Topology;
