//! Consensus among the members of the control plane on the primary and the data replicas, and replication of the data.
//!
//! `docs/design/control.md` ("Control state") specifies what each message guarantees.

use std::sync::Arc;

use musli::{Decode, Encode};

use crate::node::NodeId;
use crate::number::{Epoch, SequenceNumber};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver; a member of another generation on the same machine ignores the message.
    pub to: NodeId,
    /// The message.
    pub message: ReplicationMessage,
}

/// The voters and the data replicas, under an epoch that no two proposers share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// The epoch: the upper 32 bits are a counter and 8 bits of the proposer's generation, the lower its address.
    pub epoch: Epoch,
    /// Members that vote.
    pub voters: Vec<NodeId>,
    /// The voters being replaced by a change of voters, else empty; while set, a quorum is a majority of these and a
    /// majority of `voters`.
    pub previous_voters: Vec<NodeId>,
    /// Members that store the data; the first is the primary, the others are its backups.
    pub data_replicas: Vec<NodeId>,
}

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The entry's sequence number, from 1, without gaps.
    pub sequence: SequenceNumber,
    /// The encoded command.
    #[musli(with = crate::shared_bytes)]
    pub command: Arc<[u8]>,
}

/// Identifies the data that a proposer sends in chunks. The same data has the same id in every epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TransferId {
    /// The last entry that the snapshot contains.
    pub snapshot_sequence: SequenceNumber,
    /// The newest entry of the data.
    pub sequence: SequenceNumber,
    /// The length of the data in bytes.
    pub length: u64,
    /// The checksum of the data (XXH3, 64 bits).
    pub checksum: u64,
}

/// A message between members, without sender and receiver.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ReplicationMessage {
    /// Paxos phase 1: a data replica proposes a new view under this epoch.
    Prepare {
        /// The proposed epoch.
        epoch: Epoch,
    },
    /// The sender no longer takes part in any lower epoch. The promise is durable before it is sent.
    Promise {
        /// The epoch that was promised.
        epoch: Epoch,
        /// The newest view that the sender has recorded.
        view: View,
    },
    /// The sender rejects a request.
    Refuse {
        /// The epoch of the request.
        epoch: Epoch,
        /// The highest epoch that the sender has promised.
        promised: Epoch,
    },
    /// A chunk of the data that brings a future data replica up to date before its view is installed.
    Sync {
        /// The proposed epoch.
        epoch: Epoch,
        /// The epoch of the proposer's data before this view change: a member whose data has the same epoch and
        /// the same newest entry has all of it.
        data_epoch: Epoch,
        /// The data that the chunk belongs to.
        transfer: TransferId,
        /// The offset of the chunk in the data, in bytes.
        offset: u64,
        /// The chunk.
        #[musli(with = crate::shared_bytes)]
        bytes: Arc<[u8]>,
    },
    /// The length of the data that the sender has received without gaps. The data may not be on the sender's disk yet.
    SyncProgress {
        /// The epoch of the sync.
        epoch: Epoch,
        /// The data that is received.
        transfer: TransferId,
        /// Bytes received from the start of the data.
        received: u64,
    },
    /// All data of the sync is on the sender's disk.
    Synced {
        /// The epoch of the sync.
        epoch: Epoch,
        /// The newest entry of the data.
        sequence: SequenceNumber,
    },
    /// Paxos phase 2: asks the receiver to record a view durably.
    Install {
        /// The view.
        view: View,
    },
    /// The view is recorded on the sender's disk.
    Installed {
        /// The view's epoch.
        epoch: Epoch,
    },
    /// Replicates an entry to a backup.
    Append {
        /// The primary's epoch.
        epoch: Epoch,
        /// The entry.
        entry: Entry,
    },
    /// The entry and all before it are on the sender's disk.
    Appended {
        /// The epoch.
        epoch: Epoch,
        /// The entry's sequence number.
        sequence: SequenceNumber,
    },
    /// The primary is alive. Grants nothing by itself; acknowledgements renew the primary's lease.
    Heartbeat {
        /// The primary's view, so that standbys learn it.
        view: View,
        /// Returned in the acknowledgement; the primary counts its lease from the time at which it sent the heartbeat.
        token: u64,
        /// The newest entry that all data replicas have.
        committed: SequenceNumber,
    },
    /// Acknowledges a heartbeat. A voter thereby grants a lease, and votes for no other member while the grant runs.
    HeartbeatAck {
        /// The view's epoch.
        epoch: Epoch,
        /// The heartbeat's token.
        token: u64,
        /// The sender's zone.
        zone: String,
        /// The sender's disk responds within its time limit.
        disk_healthy: bool,
        /// The sender is about to depart: its roles in the view are to be given to other members.
        leaving: bool,
    },
    /// The primary gives up its lease; the named backup may campaign at once.
    Release {
        /// The primary's epoch.
        epoch: Epoch,
        /// The data replica that should become primary.
        successor: NodeId,
    },
    /// The sender is running and is not in any view that it knows to be in force.
    Join {
        /// The sender's zone.
        zone: String,
    },
}
