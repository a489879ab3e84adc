//! Numbers that order the state of the control plane's members and of subscribers.

use tulipridge_configuration::{integer_newtypes, sequential_newtypes};

integer_newtypes! {
    /// An epoch of the control plane, under which at most one member is primary. The upper 32 bits are a counter and 8
    /// bits of the proposer's generation, the lower 32 bits its address, so that no two proposers share an epoch. 0 is
    /// below all epochs.
    Epoch(u64);
    /// The number of an entry of the replicated log, from 1, without gaps. 0 stands for the state before the first
    /// entry.
    SequenceNumber(u64);
    /// The number of a change of a published table within one epoch, from 1, without gaps.
    ChangeNumber(u64);
}

sequential_newtypes!(SequenceNumber, ChangeNumber);
