//! Workload generator: draws each user's mix of requests from a seed.

use std::time::Duration;

use quincevalve_names::seconds;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::deployment::User;

/// A request to send during the trial.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) number: u32,
    pub(crate) send_at: Duration,
    pub(crate) account: &'static str,
    pub(crate) class: &'static str,
    pub(crate) payload: Payload,
    pub(crate) idempotency_key: Option<String>,
}

/// Content of a request.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    /// A chat completion by a model.
    Model { model: &'static str, prompt: String, max_tokens: u32, stream: bool },
    /// A call to a plain service.
    Service { service: &'static str, body: String },
}

/// A kind of request with its relative weight in the mix.
struct RequestKind {
    weight: u32,
    account: &'static str,
    class: &'static str,
    payload_kind: PayloadKind,
}

enum PayloadKind {
    Chat { topics: u32, token_limit: u32 },
    Long { topics: u32, token_limit: u32 },
    Call,
}

const FLUGHAFENSHUTTLE: [RequestKind; 5] = [
    RequestKind {
        weight: 40,
        account: "travellers",
        class: "kerbside",
        payload_kind: PayloadKind::Chat { topics: 12, token_limit: 48 },
    },
    RequestKind {
        weight: 25,
        account: "hotel-desks",
        class: "desk",
        payload_kind: PayloadKind::Chat { topics: 20, token_limit: 64 },
    },
    RequestKind {
        weight: 10,
        account: "dispatch",
        class: "summary",
        payload_kind: PayloadKind::Long { topics: 4, token_limit: 600 },
    },
    RequestKind {
        weight: 5,
        account: "website",
        class: "kerbside",
        payload_kind: PayloadKind::Chat { topics: 12, token_limit: 32 },
    },
    RequestKind {
        weight: 20,
        account: "travellers",
        class: "booking",
        payload_kind: PayloadKind::Call,
    },
];

const MACRAE: [RequestKind; 5] = [
    RequestKind {
        weight: 35,
        account: "forecourt",
        class: "chat",
        payload_kind: PayloadKind::Chat { topics: 30, token_limit: 48 },
    },
    RequestKind {
        weight: 15,
        account: "private-buyers",
        class: "chat",
        payload_kind: PayloadKind::Chat { topics: 30, token_limit: 48 },
    },
    RequestKind {
        weight: 20,
        account: "dealers-north",
        class: "dossier",
        payload_kind: PayloadKind::Long { topics: 10, token_limit: 900 },
    },
    RequestKind {
        weight: 10,
        account: "dealers-south",
        class: "billed-report",
        payload_kind: PayloadKind::Long { topics: 10, token_limit: 600 },
    },
    RequestKind {
        weight: 20,
        account: "auctions",
        class: "record",
        payload_kind: PayloadKind::Call,
    },
];

/// Mean request rate of all callers together, in requests per second.
const REQUESTS_PER_SECOND: f64 = 80.0;

/// Draws the requests of a run. With `overload`, the middle third of the requests arrives at 20 times the normal rate.
pub(crate) fn generate(
    user: User,
    requests: u32,
    seed: u64,
    overload: bool,
) -> Vec<PlannedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let kinds = match user {
        User::Flughafenshuttle => &FLUGHAFENSHUTTLE,
        User::Macrae => &MACRAE,
    };
    let mut send_at = 0.0;
    (0..requests)
        .map(|number| {
            let is_peak = overload && (requests / 3..requests * 2 / 3).contains(&number);
            let rate = if is_peak { REQUESTS_PER_SECOND * 20.0 } else { REQUESTS_PER_SECOND };
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            send_at += -draw.ln() / rate;
            let kind = pick_kind(kinds, &mut rng);
            plan_request(user, number, seconds(send_at), kind, &mut rng)
        })
        .collect()
}

fn pick_kind<'a>(kinds: &'a [RequestKind], rng: &mut Pcg64Mcg) -> &'a RequestKind {
    let total: u32 = kinds.iter().map(|it| it.weight).sum();
    let mut draw = rng.random_range(0..total);
    for kind in kinds {
        if draw < kind.weight {
            return kind;
        }
        draw -= kind.weight;
    }
    &kinds[0]
}

fn plan_request(
    user: User,
    number: u32,
    send_at: Duration,
    kind: &RequestKind,
    rng: &mut Pcg64Mcg,
) -> PlannedRequest {
    let (model, service) = match user {
        User::Flughafenshuttle => ("booking-assistant", "seats"),
        User::Macrae => ("vehicle-language", "records"),
    };
    let (payload, idempotency_key) = match kind.payload_kind {
        PayloadKind::Chat { topics, token_limit } => {
            let topic = rng.random_range(0..topics);
            let prompt = prompt(topic, SHORT_CONTEXT, number);
            let stream = rng.random_bool(0.8);
            (Payload::Model { model, prompt, max_tokens: token_limit, stream }, None)
        }
        PayloadKind::Long { topics, token_limit } => {
            let topic = rng.random_range(0..topics);
            let prompt = prompt(topic, LONG_CONTEXT, number);
            let idempotency_key = rng.random_bool(0.5).then(|| format!("long-{number}"));
            (
                Payload::Model { model, prompt, max_tokens: token_limit, stream: true },
                idempotency_key,
            )
        }
        PayloadKind::Call => {
            let body = format!("{{\"request\":{number},\"seats\":{}}}", rng.random_range(1..5));
            let idempotency_key = rng.random_bool(0.7).then(|| format!("call-{number}"));
            (Payload::Service { service, body }, idempotency_key)
        }
    };
    PlannedRequest {
        number,
        send_at,
        account: kind.account,
        class: kind.class,
        payload,
        idempotency_key,
    }
}

/// Number of context sentences in a short prompt, the same in all prompts on one topic.
const SHORT_CONTEXT: u32 = 12;
/// Number of context sentences in a long prompt, the same in all prompts on one topic.
const LONG_CONTEXT: u32 = 60;

fn prompt(topic: u32, sentences: u32, number: u32) -> String {
    use std::fmt::Write as _;
    let mut text = String::new();
    for sentence in 0..sentences {
        let _ = write!(text, "Topic {topic}, fact {sentence}: as agreed with the office. ");
    }
    let _ = write!(text, "Question {number}?");
    text
}
