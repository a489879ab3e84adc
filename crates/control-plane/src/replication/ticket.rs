//! The names by which the owner and the state machine refer to what is under way.

use tulipridge_configuration::{counted, numbers};

numbers! {
    /// Names a batch of records that the owner writes, from 1 on. The disk reports batches in this order.
    WriteTicket(u64);
    /// Names a proposal of the owner at this member.
    ProposalTicket(u64);
}

counted!(WriteTicket, ProposalTicket);
