//! The numbers by which members of the control plane and subscribers order what they know.

use tulipridge_configuration::{counted, numbers};

numbers! {
    /// An epoch of the control plane, under which at most one member is primary. In the upper 32 bits a counter and 8 bits
    /// of the proposer's generation, in the lower its address, so that no two proposers share one. 0 is below all.
    Epoch(u64);
    /// The number of an entry of the replicated log, from 1, without gaps. 0 stands for the state before the first entry.
    SequenceNumber(u64);
    /// The number of a change of a published table within one epoch, from 1, without gaps.
    ChangeNumber(u64);
}

counted!(SequenceNumber, ChangeNumber);
