//! At most once: claims of non-idempotent requests, kept in the platform's store.
//!
//! Claims are spread over slots. A slot is one key of the store, changed only by compare-and-swap, each
//! change holding many claims (group commit). Whoever wins a swap has read every claim before it, so any
//! entry VM may write any slot at any time: the chain of swaps is the fence, not a lease or a clock.
//! Ownership of a slot is only a habit that keeps batches large and conflicts rare.

mod claim;
mod desk;
mod format;
mod slot;

pub use crate::{
    claim::{Claim, ClaimKey, Ticket, Verdict},
    desk::{ClaimDesk, ClaimDeskError, DeskSettings},
    format::{Entry, Head, Segment},
    slot::{ReadOutcome, Slot, SlotAction, SlotEvent, SlotSettings, SwapOutcome},
};
