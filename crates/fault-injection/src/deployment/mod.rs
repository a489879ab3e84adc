//! Deployments: control-plane members and edge machines with the real programs, and stand-ins around them.
//!
//! `system` defines and starts a deployment; `faults`, `observe`, `relays` and `settings` add methods to it.

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
