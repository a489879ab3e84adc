//! Quorums of a view, and epochs that are unique to their proposer.
//!
//! While voters are being replaced, a quorum is a majority of the new voters and a majority of the previous voters,
//! as in Raft's joint consensus.

use std::collections::BTreeSet;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::View;

/// Low bits of an epoch, which hold its proposer's address.
const ADDRESS_BITS: u32 = 32;
/// Bits above the address, which hold the proposer's folded generation, so that a member that lost its disk reuses
/// no epoch.
const GENERATION_BITS: u32 = 8;

/// Whether more than half of the voters are in the set. True if there are no voters.
fn has_majority(voters: &[NodeId], set: &BTreeSet<NodeId>) -> bool {
    voters.is_empty() || voters.iter().filter(|voter| set.contains(voter)).count() * 2 > voters.len()
}

/// Whether the set holds a majority of the view's voters and a majority of its previous voters.
pub(super) fn has_quorum(view: &View, set: &BTreeSet<NodeId>) -> bool {
    !view.voters.is_empty() && has_majority(&view.voters, set) && has_majority(&view.previous_voters, set)
}

/// Whether the view is known to be in force, so that the previous voters are no longer needed.
pub(super) fn is_view_complete(view: &View) -> bool {
    view.previous_voters.is_empty()
}

/// All members that vote on a change of the view.
pub(super) fn electorate(view: &View) -> BTreeSet<NodeId> {
    view.voters.iter().chain(&view.previous_voters).copied().collect()
}

/// An epoch of `proposer` that is greater than `above`.
pub(super) fn next_epoch(above: Epoch, proposer: NodeId) -> Epoch {
    let count = (above.0 >> (ADDRESS_BITS + GENERATION_BITS)) + 1;
    let folded_generation = proposer.generation.0 ^ (proposer.generation.0 >> 32);
    let generation = folded_generation & ((1 << GENERATION_BITS) - 1);
    Epoch((count << GENERATION_BITS | generation) << ADDRESS_BITS | u64::from(proposer.ip))
}
