//! The relays between machines.

use super::system::Deployment;
use crate::error::Result;
use crate::machine::{Machine, MachineId, Port};
use crate::network::Direction;
use crate::relay::{Route, TcpRelay, relay_datagrams};

impl Deployment {
    /// Starts the relays between machines.
    pub(super) fn connect(&mut self) -> Result<()> {
        let mut relays = Vec::new();
        let members: Vec<&Machine> = self.members.iter().map(|member| &member.machine).collect();
        for to in &members {
            for from in members.iter().filter(|from| from.id != to.id) {
                for port in [Port::Control, Port::Subscription] {
                    relays.push(self.relay(from.id, from, to, port)?);
                }
                // A member's redirects name its own port at the other member, to which the operator connects.
                relays.push(self.relay(self.operator_machine.id, from, to, Port::Api)?);
                self.relay_peer_sampling(from, to)?;
            }
            relays.push(self.relay(self.operator_machine.id, &self.operator_machine, to, Port::Api)?);
            relays.push(self.relay(to.id, to, &self.platform_machine, Port::Api)?);
            for edge in self.edges.iter().map(|edge| &edge.machine) {
                relays.push(self.relay(edge.id, edge, to, Port::Subscription)?);
                self.relay_peer_sampling(edge, to)?;
                self.relay_peer_sampling(to, edge)?;
            }
        }
        let edges: Vec<&Machine> = self.edges.iter().map(|edge| &edge.machine).collect();
        for to in &edges {
            for from in edges.iter().filter(|from| from.id != to.id) {
                self.relay_peer_sampling(from, to)?;
            }
        }
        self.relays = relays;
        Ok(())
    }

    /// A relay of connections from `client` to the machine `to` at the port numbers of `from`.
    fn relay(&self, client: MachineId, from: &Machine, to: &Machine, port: Port) -> Result<TcpRelay> {
        let direction = Direction { from: client, to: to.id };
        let route = Route { direction, listen: from.socket_toward(to, port), target: to.socket(port) };
        TcpRelay::start(&self.network, route)
    }

    /// A relay of datagrams from one machine to another.
    fn relay_peer_sampling(&self, from: &Machine, to: &Machine) -> Result<()> {
        let direction = Direction { from: from.id, to: to.id };
        let (listen, target) = (from.socket_toward(to, Port::PeerSampling), to.socket(Port::PeerSampling));
        relay_datagrams(&self.network, Route { direction, listen, target }, from.address)
    }
}
