//! The timer's task and its handle.

use std::{cmp::Reverse, collections::BinaryHeap, future::Future, time::Duration};

use quincevalve_names::TimePoint;
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::{Alarm, Subscription, Watchdog};

/// A handle of the timer service. Clones share one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?.block_on(async {
/// let timer = quincevalve_timer::Timer::start();
/// let mut subscription = timer.every(Duration::from_millis(5));
/// let first = subscription.tick().await;
/// assert_eq!(first.map(|it| it.as_micros()), Some(5_000));
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Timer {
    origin: Instant,
    commands: mpsc::UnboundedSender<Command>,
}

#[derive(Debug)]
enum Command {
    Every { period: Duration, ticks: mpsc::Sender<TimePoint> },
    Once { at: Instant, fired: oneshot::Sender<()> },
}

enum Waiter {
    Every { period: Duration, ticks: mpsc::Sender<TimePoint> },
    Once(oneshot::Sender<()>),
}

impl Timer {
    /// Starts the service on the current runtime. The service ends when the last handle is dropped.
    pub fn start() -> Self {
        let (commands, rx) = mpsc::unbounded_channel();
        let origin = Instant::now();
        tokio::spawn(Service::new(origin, rx).run());
        Self { origin, commands }
    }

    /// Returns the current time, relative to the start of the service.
    pub fn now(&self) -> TimePoint {
        TimePoint(self.origin.elapsed().as_micros() as u64)
    }

    /// Subscribes to a tick every `period`.
    pub fn every(&self, period: Duration) -> Subscription {
        let (tx, ticks) = mpsc::channel(1);
        let command = Command::Every { period, ticks: tx };
        // If the service has ended, the sender is dropped and the subscriber's next tick is `None`.
        let _ = self.commands.send(command);
        Subscription { ticks }
    }

    /// Returns a future that completes after `delay`.
    pub fn after(&self, delay: Duration) -> Alarm {
        let (fired, rx) = oneshot::channel();
        let _ = self.commands.send(Command::Once { at: Instant::now() + delay, fired });
        Alarm { fired: rx }
    }

    /// Returns a watchdog that expires after `limit` without [`Watchdog::record_progress`].
    pub fn watchdog(&self, limit: Duration) -> Watchdog {
        Watchdog::new(self.clone(), limit)
    }

    /// Runs `work` for at most `limit`. Returns `None` on timeout.
    pub async fn timeout<F>(&self, limit: Duration, work: F) -> Option<F::Output>
    where
        F: Future + Send,
        F::Output: Send,
    {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.after(limit) => None,
        }
    }
}

struct Service {
    origin: Instant,
    commands: mpsc::UnboundedReceiver<Command>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    waiters: std::collections::HashMap<u64, Waiter>,
    next_id: u64,
}

impl Service {
    fn new(origin: Instant, commands: mpsc::UnboundedReceiver<Command>) -> Self {
        Self {
            origin,
            commands,
            queue: BinaryHeap::new(),
            waiters: std::collections::HashMap::new(),
            next_id: 0,
        }
    }

    async fn run(mut self) {
        loop {
            let due = self.queue.peek().map(|it| it.0.0);
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.schedule(command),
                    None => return,
                },
                () = wait_until(due) => self.fire(Instant::now()),
            }
        }
    }

    fn schedule(&mut self, command: Command) {
        match command {
            Command::Every { period, ticks } => {
                let at = Instant::now() + period;
                self.push(at, Waiter::Every { period, ticks });
            }
            Command::Once { at, fired } => self.push(at, Waiter::Once(fired)),
        }
    }

    fn push(&mut self, at: Instant, waiter: Waiter) {
        self.next_id += 1;
        self.queue.push(Reverse((at, self.next_id)));
        self.waiters.insert(self.next_id, waiter);
    }

    fn fire(&mut self, now: Instant) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > now {
                return;
            }
            self.queue.pop();
            match self.waiters.remove(&id) {
                Some(Waiter::Once(fired)) => drop(fired.send(())),
                Some(Waiter::Every { period, ticks }) => self.tick(now, period, ticks),
                None => {}
            }
        }
    }

    fn tick(&mut self, now: Instant, period: Duration, ticks: mpsc::Sender<TimePoint>) {
        let at = TimePoint(now.duration_since(self.origin).as_micros() as u64);
        if let Err(mpsc::error::TrySendError::Closed(_)) = ticks.try_send(at) {
            return;
        }
        self.push(now + period, Waiter::Every { period, ticks });
    }
}

async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn merges_missed_ticks_of_a_slow_subscriber() {
        let timer = Timer::start();
        let mut subscription = timer.every(Duration::from_millis(10));
        timer.after(Duration::from_millis(55)).await;
        assert!(subscription.tick().await.is_some());
        let next = subscription.tick().await.unwrap();
        assert!(
            next >= TimePoint::from_millis(60),
            "missed ticks were delivered one by one: {next:?}"
        );
    }

    #[tokio::test(start_paused = true)]
    async fn timeout_returns_none_at_the_limit() {
        let timer = Timer::start();
        let never = std::future::pending::<()>();
        assert_eq!(timer.timeout(Duration::from_secs(3), never).await, None);
        assert_eq!(timer.now(), TimePoint::from_millis(3_000));
    }
}
