//! The HTTP request path of an entry VM.
//!
//! A request passes the filters identify → admit → claim. Then a separate task runs route → dispatch → relay until the
//! answer is complete or its outcome is known, and settles the request. The caller reads the answer from a log, so
//! nothing is lost when its connection breaks.

mod answer;
mod answers;
mod attempt;
mod body;
mod burn;
mod control_link;
mod departures;
mod filters;
mod front;
mod hand_over;
mod observe;
mod openai;
mod peer_service;
mod peers;
mod pipe;
mod reader;
mod refusal;
mod remote;
mod request;
mod settings;
mod shared;
mod stall_guard;
mod start;
mod view;

pub use crate::{
    burn::{BurnBucket, BurnReport, BurnRow},
    refusal::{Refusal, RefusalKind},
    settings::{EntrySettings, LedgerSettings, Limits, Pacing},
    start::{EntryVm, StartError},
    view::View,
};
