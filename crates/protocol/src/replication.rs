//! Agreement among the members of the control plane: who is primary, who stores the data, and its replication.
//!
//! `docs/design/control.md` ("Control state") says what each message guarantees.

use std::sync::Arc;

use musli::{Decode, Encode};

use crate::node::NodeId;
use crate::number::{Epoch, SequenceNumber};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver; another generation on the same machine ignores the message.
    pub to: NodeId,
    /// The message.
    pub message: ReplicationMessage,
}

/// Who votes and who stores the data, under an epoch that no two proposers share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// The epoch: in the upper 32 bits a counter and 8 bits of the proposer's generation, in the lower its address.
    pub epoch: Epoch,
    /// Members that vote.
    pub voters: Vec<NodeId>,
    /// Voters of the view that this one was made from: a majority of them is needed beside one of `voters`.
    pub previous_voters: Vec<NodeId>,
    /// Members that store the data; the first is the primary, the others are its backups.
    pub data_replicas: Vec<NodeId>,
}

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Its sequence number, from 1, without gaps.
    pub sequence: SequenceNumber,
    /// The encoded command.
    #[musli(with = crate::shared_bytes)]
    pub command: Arc<[u8]>,
}

/// Identifies the data that a proposer sends in chunks. The same data has the same id under each epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct TransferId {
    /// The entry up to which its snapshot goes.
    pub snapshot_sequence: SequenceNumber,
    /// Its newest entry.
    pub sequence: SequenceNumber,
    /// Its length in bytes.
    pub length: u64,
    /// Its checksum (XXH3, 64 bits).
    pub checksum: u64,
}

/// What members send to each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ReplicationMessage {
    /// Paxos phase 1: a data replica proposes a new view under this epoch.
    Prepare {
        /// The proposed epoch.
        epoch: Epoch,
    },
    /// The sender takes part in no lower epoch any more. Durable before it is sent.
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
        /// Where the chunk begins, in bytes.
        offset: u64,
        /// The chunk.
        #[musli(with = crate::shared_bytes)]
        bytes: Arc<[u8]>,
    },
    /// How much of the data the sender has received without gaps. None of it need be on its disk.
    SyncProgress {
        /// The epoch of the sync.
        epoch: Epoch,
        /// The data.
        transfer: TransferId,
        /// Bytes from the start.
        received: u64,
    },
    /// The sync is on the sender's disk.
    Synced {
        /// The epoch of the sync.
        epoch: Epoch,
        /// The newest entry that it brought.
        sequence: SequenceNumber,
    },
    /// Paxos phase 2: has the receiver record a view.
    Install {
        /// The view.
        view: View,
    },
    /// The view is on the sender's disk.
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
    /// The primary is alive. Grants nothing by itself; the acknowledgement renews its lease.
    Heartbeat {
        /// The primary's view, so that standbys learn it.
        view: View,
        /// Returned in the acknowledgement; the primary counts its lease from the moment it sent this.
        token: u64,
        /// The newest entry that all data replicas have.
        committed: SequenceNumber,
    },
    /// The sender votes for nobody else while a lease grant runs.
    HeartbeatAck {
        /// The view's epoch.
        epoch: Epoch,
        /// The heartbeat's token.
        token: u64,
        /// The sender's zone.
        zone: String,
        /// The sender's disk answers within its bound.
        disk_healthy: bool,
        /// The sender's process ends soon: its seats in the view are to be given to others.
        leaving: bool,
    },
    /// The primary gives up its lease; the named backup may campaign at once.
    Release {
        /// The primary's epoch.
        epoch: Epoch,
        /// The data replica that should follow.
        successor: NodeId,
    },
    /// The sender runs and is in no view that it knows to be in force.
    Join {
        /// Its zone.
        zone: String,
    },
}
