//! Complete answers despite failures: token order, continuation on another server, hand-over to another entry VM.

// Values from outside must not end a task. An exception gives its reason at the place.
#![warn(
    clippy::disallowed_methods,
    clippy::expect_used,
    clippy::get_unwrap,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::todo,
    clippy::unimplemented,
    clippy::unreachable
)]

mod continuation;
mod copy_target;
mod engine_risk;
mod hand_over;
mod record;
mod relay;
mod run_recovery;
mod stream_end;

pub use crate::{
    continuation::{
        Continuation, ContinuationOptions, MigrationCosts, SourceState, StreamState,
        choose_continuation, migration_time,
    },
    copy_target::{CopyCandidate, choose_copy_target},
    engine_risk::{EngineCondition, EngineId, RiskTable, RunAtRisk, is_copy_due},
    hand_over::{
        HandOverAction, HandOverId, HandOverReceiver, HandOverSender, ReceiverVerdict, SendOutcome,
    },
    record::{AnswerForm, AnswerRecord, Call, Generation, RecordState, Work},
    relay::{Relay, RelayError, RelayStep},
    run_recovery::{
        ContinueFrom, HAND_OVER_LIMIT, HandOverAnswer, Obstacle, RecoveryAction,
        RecoveryConditions, RecoveryEvent, RunRecovery, stall_limit,
    },
    stream_end::{BodyEnd, EndMeaning, OrderResult, StopOrders},
};
