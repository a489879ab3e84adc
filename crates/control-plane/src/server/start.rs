//! The start of a member: recovers its disk and starts the replication protocol from the recovered state.

use std::rc::Rc;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use snafu::{OptionExt, ResultExt};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::Settings;

use super::error::{DiskSnafu, RandomNumberSnafu, ServerError, StartStateMachineSnafu};
use crate::disk::{Boot, DiskEvent, MissingFolderSnafu, OpenedDisk, StartedDisk};
use crate::links::Links;
use crate::member::{Member, MemberParts};
use crate::replication::{Replication, ReplicationSettings};
use crate::state_machine::{StateMachine, StateMachineEvent};

/// The generation of the seeds, whose disks are formatted when the cluster is bootstrapped.
const SEED_GENERATION: Generation = Generation::FIRST;

/// A member whose threads are running, and the events that they report.
pub(super) struct StartedMember {
    pub(super) node: NodeId,
    pub(super) member: Rc<Member>,
    pub(super) links: Rc<Links>,
    pub(super) disk_events: Receiver<DiskEvent>,
    pub(super) state_machine_events: Receiver<StateMachineEvent>,
}

impl StartedMember {
    /// Recovers the disk and starts the threads.
    ///
    /// # Errors
    ///
    /// If the disk can't be used, a thread can't be started, or no random number is available.
    pub(super) fn start(
        settings: &Settings,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<StartedMember, ServerError> {
        let (disk_sender, disk_events) = async_channel::unbounded();
        let (state_machine_sender, state_machine_events) = async_channel::unbounded();
        let opened = open_disk(settings)?;
        let is_fresh = opened.is_fresh;
        let StartedDisk { disk, image } = opened.start(disk_sender).context(DiskSnafu)?;
        let node = NodeId::new(settings.ip_address, image.generation);
        log::info!(member:% = node, fresh = is_fresh; "the disk is open");
        let replication = replication_settings(settings, node)?;
        let links = Rc::new(Links::new(executor.clone(), settings.spare_ports.first));
        let member = Member::new(MemberParts {
            replication: Replication::new(replication, image.state, clock::now()),
            links: links.clone(),
            disk,
            state_machine: StateMachine::start(state_machine_sender).context(StartStateMachineSnafu)?,
        });
        Ok(StartedMember { node, member, links, disk_events, state_machine_events })
    }
}

fn open_disk(settings: &Settings) -> Result<OpenedDisk, ServerError> {
    let folder = settings.data_folder.as_deref().context(MissingFolderSnafu).context(DiskSnafu)?;
    let seed_node = NodeId::new(settings.ip_address, SEED_GENERATION);
    let boot = match settings.first_boot {
        true => Boot::First { view: replication_settings(settings, seed_node)?.first_view() },
        false => Boot::Later,
    };
    OpenedDisk::open(folder, boot).context(DiskSnafu)
}

fn replication_settings(settings: &Settings, node: NodeId) -> Result<ReplicationSettings, ServerError> {
    let seeds = settings.seed_ips().into_iter();
    Ok(ReplicationSettings {
        node,
        zone: settings.area.clone(),
        seeds: seeds.map(|ip| NodeId::new(ip, SEED_GENERATION)).collect(),
        tolerated_failures: settings.withstand.machine_losses,
        first_boot: settings.first_boot,
        seed: getrandom::u64().context(RandomNumberSnafu)?,
    })
}
