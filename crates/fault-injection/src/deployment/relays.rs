//! The relays between machines.

use super::system::Deployment;
use crate::error::Result;
use crate::machine::{Machine, MachineId, Port};
use crate::network::Direction;
use crate::relay::{RelayRoute, TcpRelay, relay_datagrams};

impl Deployment {
    /// Starts the relays between machines.
    pub(super) fn start_relays(&mut self) -> Result<()> {
        let mut relays = Vec::new();
        let members: Vec<&Machine> = self.members.iter().map(|member| &member.machine).collect();
        for to in &members {
            for from in members.iter().filter(|from| from.id != to.id) {
                for port in [Port::Control, Port::Subscription] {
                    relays.push(self.start_relay(from.id, from, to, port)?);
                }
                // A redirect by `from` contains the API port of `from` at the address of `to`; the operator
                // connects to it.
                relays.push(self.start_relay(self.operator_machine.id, from, to, Port::Api)?);
                self.start_peer_sampling_relay(from, to)?;
            }
            relays.push(self.start_relay(
                self.operator_machine.id,
                &self.operator_machine,
                to,
                Port::Api,
            )?);
            relays.push(self.start_relay(to.id, to, &self.platform_machine, Port::Api)?);
            for edge in self.edges.iter().map(|edge| &edge.machine) {
                relays.push(self.start_relay(edge.id, edge, to, Port::Subscription)?);
                self.start_peer_sampling_relay(edge, to)?;
                self.start_peer_sampling_relay(to, edge)?;
            }
        }
        let edges: Vec<&Machine> = self.edges.iter().map(|edge| &edge.machine).collect();
        for to in &edges {
            for from in edges.iter().filter(|from| from.id != to.id) {
                self.start_peer_sampling_relay(from, to)?;
            }
        }
        self.relays = relays;
        Ok(())
    }

    /// Starts a relay of connections from `client` to the machine `to`, which listens at the port number of `from`.
    fn start_relay(&self, client: MachineId, from: &Machine, to: &Machine, port: Port) -> Result<TcpRelay> {
        let direction = Direction { from: client, to: to.id };
        let route = RelayRoute { direction, listen: from.socket_toward(to, port), target: to.socket(port) };
        TcpRelay::start(&self.network, route)
    }

    /// Starts a relay of peer-sampling datagrams from one machine to another.
    fn start_peer_sampling_relay(&self, from: &Machine, to: &Machine) -> Result<()> {
        let direction = Direction { from: from.id, to: to.id };
        let (listen, target) = (from.socket_toward(to, Port::PeerSampling), to.socket(Port::PeerSampling));
        relay_datagrams(&self.network, RelayRoute { direction, listen, target }, from.address)
    }
}
