//! Majorities and epochs.

use std::collections::BTreeSet;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

/// Bits of the round that tell apart lives of one address, so that a member whose disk was lost repeats no
/// epoch.
const LIFE_BITS: u32 = 8;

/// Whether more than half of the voters are in the set. No voters need no majority.
fn majority(voters: &[NodeId], set: &BTreeSet<NodeId>) -> bool {
    voters.is_empty() || voters.iter().filter(|voter| set.contains(voter)).count() * 2 > voters.len()
}

/// Whether the set holds a majority of the view's voters and one of its previous voters.
pub(super) fn has_quorum(view: &View, set: &BTreeSet<NodeId>) -> bool {
    !view.voters.is_empty() && majority(&view.voters, set) && majority(&view.previous_voters, set)
}

/// The view is known to be in force, so the voters that it was made from are not needed any more.
pub(super) fn is_settled(view: &View) -> bool {
    view.previous_voters.is_empty()
}

/// All who vote on a change of the view.
pub(super) fn electorate(view: &View) -> BTreeSet<NodeId> {
    view.voters.iter().chain(&view.previous_voters).copied().collect()
}

/// The first epoch of this proposer above the given one.
pub(super) fn next_epoch(above: u64, node: NodeId) -> u64 {
    let count = (above >> (32 + LIFE_BITS)) + 1;
    let life = (node.generation ^ (node.generation >> 32)) & ((1 << LIFE_BITS) - 1);
    (count << LIFE_BITS | life) << 32 | u64::from(node.ip)
}
