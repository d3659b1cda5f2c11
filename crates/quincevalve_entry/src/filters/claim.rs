//! Claim: may this VM dispatch the request, or is it a repeat?

use std::sync::Arc;

use quincevalve_names::Outcome;

use crate::{
    answer::Answer,
    answers::{KeyState, Known},
    pipe::Filter,
    refusal::{Refusal, RefusalKind},
    request::{Accepted, Admitted, Claimed, Repeat},
    shared::Shared,
};

pub(crate) struct Claim {
    pub(crate) shared: Arc<Shared>,
}

impl Filter<Admitted> for Claim {
    type Out = Claimed;
    type Error = Refusal;

    async fn apply(&self, admitted: Admitted) -> Result<Claimed, Refusal> {
        let Admitted { request, place } = admitted;
        let request = Arc::new(request);
        let answer = Arc::new(Answer::new(request.id));
        let known = Known { request: Arc::clone(&request), answer: Arc::clone(&answer) };
        match self.shared.answers.insert_unless_known(known) {
            KeyState::Free => Ok(Claimed::New(Accepted { request, answer, place })),
            KeyState::Same(first) => {
                Ok(Claimed::Known(Repeat { answer: first.answer, shape: request.shape }))
            }
            KeyState::Other => Err(Refusal::new(RefusalKind::KeyReused, Outcome::NotRun)),
        }
    }
}
