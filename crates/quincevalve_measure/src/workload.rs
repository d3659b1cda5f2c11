//! The request mixes of the two users, with realistic sizes.

use std::time::Duration;

use quincevalve_names::{HomeTag, RequestId, TimePoint, mix};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A class of requests in a mix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) share: u32,
    pub(crate) interactive: bool,
    /// Latency target: time to the first token or, for bulk requests, to the end of the answer.
    pub(crate) latency_target: Duration,
    /// Number of distinct prompt prefixes (flights and pick-up points, hotels, shifts; vehicles and their records).
    pub(crate) topics: u32,
    pub(crate) prefix_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) answer_tokens: u32,
}

/// The request mix of one user.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    pub(crate) name: &'static str,
    pub(crate) kinds: &'static [Kind],
}

const SHORT_LATENCY_TARGET: Duration = Duration::from_millis(800);

/// Mix of kerbside chats, desk chats and shift summaries.
pub(crate) const FLUGHAFENSHUTTLE: Mix = Mix {
    name: "flughafenshuttle",
    kinds: &[
        Kind {
            share: 70,
            interactive: true,
            latency_target: SHORT_LATENCY_TARGET,
            topics: 500,
            prefix_tokens: 1_600,
            own_tokens: 120,
            answer_tokens: 60,
        },
        Kind {
            share: 20,
            interactive: true,
            latency_target: SHORT_LATENCY_TARGET,
            topics: 300,
            prefix_tokens: 1_200,
            own_tokens: 80,
            answer_tokens: 40,
        },
        Kind {
            share: 10,
            interactive: false,
            latency_target: Duration::from_secs(90),
            topics: 40,
            prefix_tokens: 3_000,
            own_tokens: 2_500,
            answer_tokens: 700,
        },
    ],
};

/// Mix of forecourt chats and dossiers.
pub(crate) const MACRAE: Mix = Mix {
    name: "macrae",
    kinds: &[
        Kind {
            share: 75,
            interactive: true,
            latency_target: SHORT_LATENCY_TARGET,
            topics: 3_000,
            prefix_tokens: 1_400,
            own_tokens: 100,
            answer_tokens: 50,
        },
        Kind {
            share: 25,
            interactive: false,
            latency_target: Duration::from_secs(150),
            topics: 600,
            prefix_tokens: 2_500,
            own_tokens: 3_500,
            answer_tokens: 1_200,
        },
    ],
};

pub(crate) const MIXES: [Mix; 2] = [FLUGHAFENSHUTTLE, MACRAE];

/// Scale of the number of distinct prompt prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prefixes {
    /// The number given by the mix; each server's cache holds only a fraction of the prefixes.
    Many,
    /// A tenth of that number; each server's cache holds nearly all prefixes, so affinity gains little.
    Few,
}

impl Prefixes {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Many => "many",
            Self::Few => "few",
        }
    }

    fn count(self, topics: u32) -> u32 {
        match self {
            Self::Many => topics,
            Self::Few => (topics / 10).max(1),
        }
    }
}

/// One generated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) id: RequestId,
    pub(crate) at: TimePoint,
    pub(crate) kind: usize,
    pub(crate) prefix: u64,
    pub(crate) answer_tokens: u32,
}

/// Generates random requests at a mean rate for a given duration. The topic distribution is skewed: a few topics
/// receive most requests.
pub(crate) fn draw(
    mix_of: &Mix,
    prefixes: Prefixes,
    rate: f64,
    length: Duration,
    seed: u64,
) -> Vec<Question> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut questions = Vec::new();
    let mut at = 0.0;
    loop {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -draw.ln() / rate;
        if at >= length.as_secs_f64() {
            return questions;
        }
        let kind = pick(mix_of, &mut rng);
        let facts = &mix_of.kinds[kind];
        let skew: f64 = rng.random_range(0.0..1.0);
        let topic = (skew * skew * f64::from(prefixes.count(facts.topics))) as u64;
        let spread = rng.random_range(0.5..1.5);
        questions.push(Question {
            id: RequestId::new(HomeTag(0), questions.len() as u128),
            at: TimePoint((at * 1e6) as u64),
            kind,
            prefix: mix(kind as u64 + 1, topic + 1),
            answer_tokens: ((f64::from(facts.answer_tokens) * spread) as u32).max(1),
        });
    }
}

fn pick(mix_of: &Mix, rng: &mut Pcg64Mcg) -> usize {
    let total: u32 = mix_of.kinds.iter().map(|it| it.share).sum();
    let mut draw = rng.random_range(0..total);
    for (at, kind) in mix_of.kinds.iter().enumerate() {
        if draw < kind.share {
            return at;
        }
        draw -= kind.share;
    }
    0
}
