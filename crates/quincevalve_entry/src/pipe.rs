//! Statically typed composition of the filters that form the request path.

use std::future::Future;

/// One stage of the request path. Its output is the input of the next stage.
pub(crate) trait Filter<In>: Sync
where
    In: Send,
{
    /// Input of the next filter.
    type Out: Send;
    /// Error that ends the pipe at this filter.
    type Error: Send;

    /// Processes one input.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out, Self::Error>> + Send;
}

/// Two filters in sequence.
pub(crate) struct Then<First, Second> {
    first: First,
    second: Second,
}

impl<In, First, Second> Filter<In> for Then<First, Second>
where
    In: Send,
    First: Filter<In>,
    Second: Filter<First::Out, Error = First::Error>,
{
    type Out = Second::Out;
    type Error = First::Error;

    async fn apply(&self, input: In) -> Result<Self::Out, Self::Error> {
        let intermediate = self.first.apply(input).await?;
        self.second.apply(intermediate).await
    }
}

/// Returns a filter that applies `first`, then `second` to its output.
pub(crate) const fn then<First, Second>(first: First, second: Second) -> Then<First, Second> {
    Then { first, second }
}
