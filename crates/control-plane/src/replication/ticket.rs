//! Tickets that identify pending writes and proposals between the owner and the state machine.

use tulipridge_configuration::{integer_newtypes, sequential_newtypes};

integer_newtypes! {
    /// Identifies a batch of records that the owner writes, counted from 1. The disk reports batches in this order.
    WriteTicket(u64);
    /// Identifies a proposal of the owner at this member.
    ProposalTicket(u64);
}

sequential_newtypes!(WriteTicket, ProposalTicket);
