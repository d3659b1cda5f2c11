//! At-most-once execution: claims of non-idempotent requests, kept in the platform's store.
//!
//! Claims are partitioned into slots. The head of a slot is one key of the store. It is changed only by
//! compare-and-swap, and each swap writes many claims (group commit). The winner of a swap has read every earlier
//! claim, so any entry VM may write any slot at any time: the chain of swaps is the fence, and neither a lease nor a
//! clock is needed for correctness. Ownership of a slot is only an optimization that keeps batches large and
//! conflicts rare.

mod claim;
mod claim_ledger;
mod format;
mod slot;

pub use crate::{
    claim::{Claim, ClaimKey, Ticket, Verdict},
    claim_ledger::{ClaimLedger, ClaimLedgerError, ClaimLedgerSettings},
    format::{Entry, Head, Segment},
    slot::{ReadOutcome, Slot, SlotAction, SlotEvent, SlotSettings, SwapOutcome},
};
