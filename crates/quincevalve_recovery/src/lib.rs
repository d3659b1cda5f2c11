//! Whole answers through failures: order of tokens, ways to go on, hand-over to another entry VM.

mod hand_over;
mod record;
mod relay;
mod ways;

pub use crate::{
    hand_over::{
        HandOverAction, HandOverId, HandOverReceiver, HandOverSender, ReceiverVerdict, SendOutcome,
    },
    record::{AnswerForm, AnswerRecord, Call, Generation, RecordState, Work},
    relay::{Relay, RelayError, RelayStep},
    ways::{Costs, Way, WayOptions, choose_way, move_time},
};
