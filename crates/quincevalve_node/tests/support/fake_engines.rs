//! Control calls to scripted engines.

use super::*;

/// What a fake engine answers to the order to migrate a run.
#[derive(Clone, Copy, Debug)]
pub enum FakeMigration {
    /// The run is stopped and copied; its handle is `copy-1`.
    Migrated,
    /// The run is stopped but not copied; its handle is `copy-1`.
    Stopped,
    /// The engine doesn't run the request.
    NoRun,
    /// The run is not stopped.
    NoRoom,
    /// An earlier order is in progress.
    InProgress,
    /// The engine can't be reached.
    Failed,
    /// There is no answer.
    Unanswered,
    /// The answer takes this long.
    After(Duration, &'static Self),
    /// One answer to each order in turn, and the last one to all further orders.
    InTurn(&'static [Self]),
}

/// Id of an attempt that its engine, still in service, broke off: it answers that it doesn't run it.
pub const BROKEN_ATTEMPT: &str = "broken";

/// Engines that answer each migration in the same way and report it to the test.
#[derive(Clone)]
pub struct FakeEngines {
    pub(super) migrations: mpsc::UnboundedSender<Migration>,
    pub(super) answer: FakeMigration,
    /// Number of orders that were received.
    pub(super) orders: Rc<Cell<usize>>,
    pub(super) freed: mpsc::UnboundedSender<String>,
}

impl FakeEngines {
    /// Returns the answer to the next order, and the time that it takes.
    fn next_answer(&self) -> (Duration, FakeMigration) {
        let number = self.orders.replace(self.orders.get() + 1);
        let mut answer = self.answer;
        let mut time = Duration::ZERO;
        loop {
            answer = match answer {
                FakeMigration::After(more, answer) => {
                    time += more;
                    *answer
                }
                FakeMigration::InTurn(answers) => answers[number.min(answers.len() - 1)],
                answer => return (time, answer),
            };
        }
    }
}

/// An order to migrate a run, as an engine received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Migration {
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub attempt_id: String,
}

impl EngineApi for FakeEngines {
    async fn migrate_request(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> Result<MigrationAnswer, MigrationError> {
        let migration = Migration { from, to, attempt_id: attempt_id.to_owned() };
        self.migrations.send(migration).expect("the test receives migrations");
        let ticket = format!("{from}/copy-1").parse().expect("a header value");
        let request = MigratedRequest { ticket, generated: None };
        if attempt_id == BROKEN_ATTEMPT {
            return Ok(MigrationAnswer::NoRun);
        }
        let (time, answer) = self.next_answer();
        sleep(time).await;
        match answer {
            FakeMigration::Migrated => Ok(MigrationAnswer::Migrated(request)),
            FakeMigration::Stopped => Ok(MigrationAnswer::Stopped(request)),
            FakeMigration::NoRun => Ok(MigrationAnswer::NoRun),
            FakeMigration::NoRoom => Ok(MigrationAnswer::NoRoom),
            FakeMigration::InProgress => Ok(MigrationAnswer::InProgress),
            FakeMigration::Failed => {
                Err(MigrationError::Call { source: CallError::Answer { address: from } })
            }
            FakeMigration::Unanswered => std::future::pending().await,
            FakeMigration::After(..) | FakeMigration::InTurn(_) => {
                unreachable!("resolved to another answer")
            }
        }
    }

    async fn free_memory(&self, ticket: &HeaderValue) -> Result<(), MigrationError> {
        let ticket = ticket.to_str().expect("a ticket of this engine").to_owned();
        self.freed.send(ticket).expect("the test receives tickets");
        Ok(())
    }
}
