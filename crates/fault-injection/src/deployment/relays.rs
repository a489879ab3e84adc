//! The relays between machines.

use super::system::Deployment;
use crate::error::Result;
use crate::machine::{Machine, MachineId, PortPurpose};
use crate::network::Direction;
use crate::relay::{RelayRoute, TcpRelay, relay_datagrams};

impl Deployment {
    /// Starts the relays between machines.
    pub(super) fn start_relays(&mut self) -> Result<()> {
        let mut relays = Vec::new();
        let members: Vec<&Machine> = self.members.iter().map(|member| &member.machine).collect();
        for to in &members {
            for from in members.iter().filter(|from| from.id != to.id) {
                for purpose in [PortPurpose::Control, PortPurpose::Subscription] {
                    relays.push(self.start_relay(from.id, from, to, purpose)?);
                }
                // A redirect by `from` contains the API port of `from` at the address of `to`; the operator
                // connects to it.
                relays.push(self.start_relay(self.operator_machine.id, from, to, PortPurpose::Api)?);
                self.start_peer_sampling_relay(from, to)?;
            }
            relays.push(self.start_relay(
                self.operator_machine.id,
                &self.operator_machine,
                to,
                PortPurpose::Api,
            )?);
            relays.push(self.start_relay(to.id, to, &self.platform_machine, PortPurpose::Api)?);
            for edge in self.edges.iter().map(|edge| &edge.machine) {
                relays.push(self.start_relay(edge.id, edge, to, PortPurpose::Subscription)?);
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
    fn start_relay(
        &self,
        client: MachineId,
        from: &Machine,
        to: &Machine,
        purpose: PortPurpose,
    ) -> Result<TcpRelay> {
        let direction = Direction { from: client, to: to.id };
        let route = RelayRoute {
            direction,
            listen: from.address_toward(to, purpose),
            target: to.listen_address(purpose),
        };
        TcpRelay::start(&self.network, route)
    }

    /// Starts a relay of peer-sampling datagrams from one machine to another.
    fn start_peer_sampling_relay(&self, from: &Machine, to: &Machine) -> Result<()> {
        let direction = Direction { from: from.id, to: to.id };
        let (listen, target) = (
            from.address_toward(to, PortPurpose::PeerSampling),
            to.listen_address(PortPurpose::PeerSampling),
        );
        relay_datagrams(&self.network, RelayRoute { direction, listen, target }, from.address)
    }
}
