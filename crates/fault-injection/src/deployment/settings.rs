//! The contents of the programs' settings files.

use super::settings_file;
use super::system::{Deployment, LIST_REQUESTS_PER_S, ZONE};
use crate::error::Result;
use crate::machine::{Machine, PortPurpose};

impl Deployment {
    fn seed_list(&self) -> String {
        let seed =
            |index: &usize| self.members[*index].machine.listen_address(PortPurpose::Api).to_string();
        let seeds: Vec<String> = self.seeds.iter().map(|index| format!("'{}'", seed(index))).collect();
        format!("[{}]", seeds.join(", "))
    }

    /// The contents of a member's settings file.
    pub(super) fn member_settings(&self, index: usize, is_first_boot: bool) -> String {
        let member = &self.members[index];
        let platform = member.machine.address_toward(&self.platform_machine, PortPurpose::Api);
        format!(
            "{}listenOn: {{controlPort: '{}'}}\nfirstBoot: {is_first_boot}\ndataFolder: '{}'\n\
             cloudApi: {{address: '{platform}', ratePerS: {LIST_REQUESTS_PER_S}}}\n",
            self.common_settings(&member.machine),
            member.machine.listen_address(PortPurpose::Api),
            member.data_folder.display(),
        )
    }

    /// Writes the settings file that the agent and the proxy of an edge machine share.
    pub(super) fn write_edge_settings(&self, index: usize) -> Result<()> {
        let machine = &self.edges[index].machine;
        let text = format!(
            "{}listenOn: {{frontDoor: '{}', readyCheck: '{}'}}\n",
            self.common_settings(machine),
            machine.listen_address(PortPurpose::Clients),
            machine.listen_address(PortPurpose::Readiness),
        );
        settings_file::write(self.folder.path(), machine, &text)
    }

    fn common_settings(&self, machine: &Machine) -> String {
        format!(
            "nodeName: {}\nipAddress: {}\narea: {ZONE}\nsparePorts: [{}, {}]\nseedNodes: {}\n\
             withstand: {{machineLosses: {}}}\n",
            machine.name,
            machine.address,
            machine.port(PortPurpose::Control),
            machine.port(PortPurpose::LocalSubscription),
            self.seed_list(),
            self.topology.tolerated_losses,
        )
    }
}
