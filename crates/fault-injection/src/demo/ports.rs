//! The ports of 127.0.0.1 at which the demo accepts connections, as offsets from a first port.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use snafu::ResultExt;

use super::TOPOLOGY;
use crate::deployment::Deployment;
use crate::error::{IoSnafu, PortInUseSnafu, Result};
use crate::machine::{Machine, PortPurpose};
use crate::network::Direction;
use crate::relay::{RelayRoute, TcpRelay};

/// Offset of the control plane's first port from the proxies' first port.
const CONTROL_PLANE_OFFSET: u16 = 10;

/// The ports of a demo, which follow from the first port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemoPorts {
    first: u16,
}

impl Default for DemoPorts {
    fn default() -> DemoPorts {
        DemoPorts { first: DemoPorts::DEFAULT_FIRST }
    }
}

impl DemoPorts {
    /// The first port by default.
    pub const DEFAULT_FIRST: u16 = 8080;
    /// A first port up to which all other ports are valid.
    pub const MAX_FIRST: u16 = u16::MAX - CONTROL_PLANE_OFFSET - TOPOLOGY.members as u16;

    /// Ports from `first` on; `None` if `first` is 0 or above `MAX_FIRST`, which keeps the last port below 65,535.
    #[must_use]
    pub fn from_first(first: u16) -> Option<DemoPorts> {
        (1..=DemoPorts::MAX_FIRST).contains(&first).then_some(DemoPorts { first })
    }

    /// The address of the proxy of an edge machine.
    #[must_use]
    pub fn proxy_address(self, edge_index: usize) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.first + edge_index as u16).into()
    }

    /// The address of a member's operator API.
    #[must_use]
    pub fn member_address(self, member_index: usize) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.first + CONTROL_PLANE_OFFSET + member_index as u16).into()
    }

    /// Binds all ports. The demo does so before it starts a program.
    pub(super) fn listen(self) -> Result<DemoListeners> {
        let bind_all = |count: usize, address: &dyn Fn(usize) -> SocketAddr| {
            (0..count).map(|index| bind(address(index))).collect::<Result<Vec<TcpListener>>>()
        };
        Ok(DemoListeners {
            ports: self,
            proxies: bind_all(TOPOLOGY.edges, &|edge| self.proxy_address(edge))?,
            members: bind_all(TOPOLOGY.members, &|member| self.member_address(member))?,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    match TcpListener::bind(address) {
        Err(error) if error.kind() == ErrorKind::AddrInUse => PortInUseSnafu { address }.fail(),
        bound => bound.with_context(|_| IoSnafu { action: format!("listen at {address}") }),
    }
}

/// Listeners that are bound to all ports of a demo.
#[derive(Debug)]
pub(super) struct DemoListeners {
    ports: DemoPorts,
    proxies: Vec<TcpListener>,
    members: Vec<TcpListener>,
}

impl DemoListeners {
    /// Starts relays from the listeners to the programs of a deployment.
    pub(super) fn start_relays(self, deployment: &Deployment) -> Vec<TcpRelay> {
        let relay = |listener, listen, machine: &Machine, purpose| {
            let direction = Direction { from: deployment.operator_machine.id, to: machine.id };
            let route = RelayRoute { direction, listen, target: machine.listen_address(purpose) };
            TcpRelay::serve(&deployment.network, listener, route)
        };
        let ports = self.ports;
        let proxies =
            self.proxies.into_iter().zip(&deployment.edges).enumerate().map(|(index, (listener, edge))| {
                relay(listener, ports.proxy_address(index), &edge.machine, PortPurpose::Clients)
            });
        let members = self.members.into_iter().zip(&deployment.members).enumerate().map(
            |(index, (listener, member))| {
                relay(listener, ports.member_address(index), &member.machine, PortPurpose::Api)
            },
        );
        proxies.chain(members).collect()
    }
}
