//! The request path's layout: filters in a pipe, joined by generics.

use std::future::Future;

/// One filter: takes the output of the one before it, gives the input of the next.
pub(crate) trait Filter<In>: Sync
where
    In: Send,
{
    /// What the next filter takes.
    type Out: Send;
    /// Why the pipe ends here.
    type Error: Send;

    /// Does this filter's part.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out, Self::Error>> + Send;
}

/// Two filters, one after the other.
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

/// Joins two filters.
pub(crate) const fn then<First, Second>(first: First, second: Second) -> Then<First, Second> {
    Then { first, second }
}
