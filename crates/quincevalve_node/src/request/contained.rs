//! Requests whose processing panics.

use std::{future::Future, panic::AssertUnwindSafe};

use futures::FutureExt;
use quincevalve_program::describe_panic;

use crate::request::refusal::{Refusal, Refused};

/// Processes a request, and refuses it if that panics.
///
/// Without an answer, the panic would close the connection, and the caller couldn't tell it from a lost answer. Whether a
/// server has run the request is unknown by then.
pub(crate) async fn refuse_on_panic<T>(
    id: &str,
    processing: impl Future<Output = Result<T, Refused>>,
) -> Result<T, Refused> {
    match AssertUnwindSafe(processing).catch_unwind().await {
        Ok(answer) => answer,
        Err(payload) => {
            log::error!(id, why = describe_panic(&*payload); "request-panicked");
            Err(Refusal::Internal.into())
        }
    }
}
