//! The users' mixes of work, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::deployment::User;

/// One request of the trial.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) number: u32,
    pub(crate) at: Duration,
    pub(crate) account: &'static str,
    pub(crate) class: &'static str,
    pub(crate) ask: Ask,
    pub(crate) key: Option<String>,
}

/// What it asks.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    /// An answer of a model.
    Model { model: &'static str, prompt: String, max_tokens: u32, stream: bool },
    /// A call of a service.
    Service { service: &'static str, body: String },
}

/// A kind of request, with its share of the mix.
struct Kind {
    share: u32,
    account: &'static str,
    class: &'static str,
    form: Form,
}

enum Form {
    Chat { topics: u32, most: u32 },
    Long { topics: u32, most: u32 },
    Call,
}

const FLUGHAFENSHUTTLE: [Kind; 5] = [
    Kind {
        share: 40,
        account: "travellers",
        class: "kerbside",
        form: Form::Chat { topics: 12, most: 48 },
    },
    Kind {
        share: 25,
        account: "hotel-desks",
        class: "desk",
        form: Form::Chat { topics: 20, most: 64 },
    },
    Kind {
        share: 10,
        account: "dispatch",
        class: "summary",
        form: Form::Long { topics: 4, most: 600 },
    },
    Kind {
        share: 5,
        account: "website",
        class: "kerbside",
        form: Form::Chat { topics: 12, most: 32 },
    },
    Kind { share: 20, account: "travellers", class: "booking", form: Form::Call },
];

const MACRAE: [Kind; 5] = [
    Kind {
        share: 35,
        account: "forecourt",
        class: "chat",
        form: Form::Chat { topics: 30, most: 48 },
    },
    Kind {
        share: 15,
        account: "private-buyers",
        class: "chat",
        form: Form::Chat { topics: 30, most: 48 },
    },
    Kind {
        share: 20,
        account: "dealers-north",
        class: "dossier",
        form: Form::Long { topics: 10, most: 900 },
    },
    Kind {
        share: 10,
        account: "dealers-south",
        class: "billed-report",
        form: Form::Long { topics: 10, most: 600 },
    },
    Kind { share: 20, account: "auctions", class: "record", form: Form::Call },
];

/// Requests that a caller sends in a second.
const RATE: f64 = 80.0;

/// Draws the questions of a run. In an overload the middle third comes five times as fast.
pub(crate) fn draw(user: User, requests: u32, seed: u64, overload: bool) -> Vec<Question> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let kinds = match user {
        User::Flughafenshuttle => &FLUGHAFENSHUTTLE,
        User::Macrae => &MACRAE,
    };
    let mut at = 0.0;
    (0..requests)
        .map(|number| {
            let is_peak = overload && (requests / 3..requests * 2 / 3).contains(&number);
            let rate = if is_peak { RATE * 20.0 } else { RATE };
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -draw.ln() / rate;
            let kind = pick(kinds, &mut rng);
            question(user, number, Duration::from_secs_f64(at), kind, &mut rng)
        })
        .collect()
}

fn pick<'a>(kinds: &'a [Kind], rng: &mut Pcg64Mcg) -> &'a Kind {
    let total: u32 = kinds.iter().map(|it| it.share).sum();
    let mut draw = rng.random_range(0..total);
    for kind in kinds {
        if draw < kind.share {
            return kind;
        }
        draw -= kind.share;
    }
    &kinds[0]
}

fn question(user: User, number: u32, at: Duration, kind: &Kind, rng: &mut Pcg64Mcg) -> Question {
    let (model, service) = match user {
        User::Flughafenshuttle => ("booking-assistant", "seats"),
        User::Macrae => ("vehicle-language", "records"),
    };
    let (ask, key) = match kind.form {
        Form::Chat { topics, most } => {
            let topic = rng.random_range(0..topics);
            let prompt = prompt(topic, SHORT_CONTEXT, number);
            let stream = rng.random_bool(0.8);
            (Ask::Model { model, prompt, max_tokens: most, stream }, None)
        }
        Form::Long { topics, most } => {
            let topic = rng.random_range(0..topics);
            let prompt = prompt(topic, LONG_CONTEXT, number);
            let key = rng.random_bool(0.5).then(|| format!("long-{number}"));
            (Ask::Model { model, prompt, max_tokens: most, stream: true }, key)
        }
        Form::Call => {
            let body = format!("{{\"request\":{number},\"seats\":{}}}", rng.random_range(1..5));
            let key = rng.random_bool(0.7).then(|| format!("call-{number}"));
            (Ask::Service { service, body }, key)
        }
    };
    Question { number, at, account: kind.account, class: kind.class, ask, key }
}

/// Sentences of context that requests of one topic share.
const SHORT_CONTEXT: u32 = 12;
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
