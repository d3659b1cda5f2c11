//! Searches short histories of VMs, calls and a store that returns from older copies for calls of two holders that the
//! platform couldn't tell apart, or that come in the wrong order.

mod support;

use std::{collections::BTreeMap, time::Duration};

use quincevalve_forwarding::duty::{ClaimRead, DutyLease, LeaseStep, Takeover, Term, TermEnd};
use quincevalve_names::{FencingNumber, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a lease in units of time; a holder may act in the first eight tenths of it.
const TTL: u64 = 10;
/// Longest times that a call to the platform takes, and a confirmation, in units for which the VM runs.
const CALL_TIME: u64 = 2;
const CONFIRMATION_TIME: u64 = 4;
/// Number of VMs.
const VMS: usize = 3;
/// Times that may pass between two events: within the usable part of a lease, and to its end.
const WAITS: [u64; 2] = [3, 7];
const UNIT: Duration = Duration::from_secs(1);

/// How a call and its answer arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Prompt,
    /// The call is executed, and its answer comes later.
    LateAnswer,
    /// The call is executed later, or never, and not answered.
    LateExecution,
}

const DELIVERIES: [Delivery; 3] = [Delivery::Prompt, Delivery::LateAnswer, Delivery::LateExecution];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Wait(u64),
    /// A VM reads the term, and is granted a lease.
    Begin(usize),
    /// The VM commits its takeover.
    Commit(usize, Delivery),
    /// A holder sends what its core says.
    Keep(usize, Delivery),
    /// A holder asks for the confirmation of a call, and makes it.
    Ask(usize, Delivery),
    /// A VM removes keys that name it although it holds no term.
    RemoveOwn(usize),
    /// A process is stopped, or killed, and started again.
    Stop(usize, Delivery),
    Kill(usize),
    /// A VM is suspended, or cut off from the store, or goes on.
    Freeze(usize),
    CutOff(usize),
    Wake(usize),
    /// A VM is suspended, and its clock doesn't count the time.
    Pause(usize),
    /// A VM's clock goes back.
    ClockBack(usize),
    /// The oldest call that is under way is executed.
    Execute,
    /// The oldest answer that is under way arrives, for the last time or not.
    Deliver,
    DeliverTwice,
    /// Another client of the store is granted a lease and keeps it.
    OtherLease,
    /// The store returns from the copy with this number; its leases run anew, or end soon.
    Return(usize, bool),
}

impl Event {
    /// Returns whether the event is part of what happens without faults.
    const fn is_undisturbed(&self) -> bool {
        use Event::{Ask, Begin, Commit, Keep, RemoveOwn, Wait, Wake};
        match self {
            Wait(units) => *units == WAITS[0],
            Ask(_, delivery) | Commit(_, delivery) | Keep(_, delivery) => {
                matches!(delivery, Delivery::Prompt)
            }
            Begin(_) | RemoveOwn(_) | Wake(_) => true,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Holder,
    Term,
    Claim(FencingNumber),
}

#[derive(Clone, Debug)]
struct Item {
    revision: u64,
    lease: u64,
    vm: usize,
    term: Term,
}

/// What a copy of the store contains.
#[derive(Clone, Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<Key, Item>,
    /// When each lease ends; `None` if another client keeps it.
    leases: BTreeMap<u64, Option<u64>>,
    last_lease: u64,
}

#[derive(Clone, Debug)]
enum Call {
    Takeover {
        vm: usize,
        takeover: Takeover,
        term_revision: u64,
        lease: u64,
    },
    ReadClaim(FencingNumber),
    Confirm(Asked, u64),
    Renew {
        lease: u64,
        sent_at: TimePoint,
    },
    /// Removes the holder's key and a claim, if the claim has this revision.
    Remove(FencingNumber, u64),
}

/// What a VM asked to be confirmed for a call, and when: by its clock, in units for which it had run, and its pauses until
/// then.
#[derive(Clone, Copy, Debug)]
struct Asked {
    number: FencingNumber,
    sent_at: TimePoint,
    ran: u64,
    pauses: u32,
}

#[derive(Clone, Debug)]
enum Answer {
    Taken(Takeover, u64),
    Claim(FencingNumber, Option<ClaimRead>),
    Confirmed(Asked),
    Renewed(TimePoint),
    LeaseEnded,
    Refused,
}

/// Whether a VM runs and reaches the store, and whether its clock runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Running,
    CutOff,
    Frozen,
    Paused,
}

impl Condition {
    const fn runs(self) -> bool {
        matches!(self, Self::Running | Self::CutOff)
    }
}

#[derive(Clone, Debug)]
struct Vm {
    duty: DutyLease,
    condition: Condition,
    /// Units of time that the VM's clock hasn't counted.
    lag: u64,
    /// A takeover whose lease was granted, with the term's revision.
    begun: Option<(Takeover, u64, u64)>,
    /// The newest call to the platform, the units for which the VM had run when it began, and when it was asked for.
    call: Option<(FencingNumber, u64, Asked)>,
    /// Units of time for which the VM has run, and how often it was suspended or its clock went back without its noticing.
    ran: u64,
    pauses: u32,
    starts: u32,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    /// Whether each VM that may act makes a call in each unit of time, and so renews its lease, or only by events.
    calls_always: bool,
    era: u64,
    store: State,
    copies: Vec<State>,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    /// Answers under way, with the VM, its start and the era.
    answers: Vec<(usize, u32, u64, Answer)>,
    /// Calls to the platform: time, VM and number. Without those of `stale`.
    platform: Vec<(u64, usize, u64)>,
    /// Number of calls that were asked for before such a suspension, and came after.
    stale: u64,
    broken: Option<String>,
}

fn at(units: u64) -> TimePoint {
    TimePoint::from_millis(1_000 * units)
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

impl State {
    fn write(&mut self, key: Key, item: Option<Item>) {
        self.revision += 1;
        match item {
            Some(item) => self.items.insert(key, Item { revision: self.revision, ..item }),
            None => self.items.remove(&key),
        };
    }

    fn revision_of(&self, key: Key) -> u64 {
        self.items.get(&key).map_or(0, |it| it.revision)
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, until| until.is_none_or(|it| it > now));
        let lapsed: Vec<Key> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease != 0 && !self.leases.contains_key(&it.lease))
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.write(key, None);
        }
    }

    fn grant(&mut self, until: Option<u64>) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, until);
        self.last_lease
    }

    /// Renews a lease, and returns the answer if it hasn't ended.
    fn renew(&mut self, lease: u64, now: u64, renewed: Answer) -> Answer {
        let Some(until) = self.leases.get_mut(&lease) else { return Answer::LeaseEnded };
        *until = until.map(|_| now + TTL);
        renewed
    }

    fn execute(&mut self, call: Call, era: u64, now: u64) -> Answer {
        match call {
            Call::Takeover { vm, takeover, term_revision, lease } => {
                let is_met = !self.items.contains_key(&Key::Holder)
                    && self.revision_of(Key::Term) == term_revision
                    && self.leases.contains_key(&lease);
                if !is_met {
                    return Answer::Refused;
                }
                let term = takeover.term.clone();
                let claim = Key::Claim(term.number);
                for (key, lease) in [(Key::Holder, lease), (claim, lease), (Key::Term, 0)] {
                    self.write(key, Some(Item { revision: 0, lease, vm, term: term.clone() }));
                }
                Answer::Taken(takeover, lease)
            }
            Call::ReadClaim(number) => {
                let item = self.items.get(&Key::Claim(number));
                let read = item
                    .map(|it| ClaimRead { revision: in_era(era, it.revision), lease: it.lease });
                Answer::Claim(number, read)
            }
            Call::Renew { lease, sent_at } => self.renew(lease, now, Answer::Renewed(sent_at)),
            Call::Confirm(asked, lease) => self.renew(lease, now, Answer::Confirmed(asked)),
            Call::Remove(number, revision) => {
                if self.revision_of(Key::Claim(number)) == revision {
                    self.write(Key::Claim(number), None);
                    self.write(Key::Holder, None);
                }
                Answer::Refused
            }
        }
    }
}

const fn in_era(era: u64, revision: u64) -> u64 {
    era << 44 | revision
}

impl World {
    fn new(calls_always: bool) -> Self {
        let vm = |vm| Vm {
            duty: DutyLease::new(&name(vm), UNIT * TTL as u32, at(0), true),
            condition: Condition::Running,
            lag: 0,
            begun: None,
            call: None,
            ran: 0,
            pauses: 0,
            starts: 0,
        };
        Self {
            now: 0,
            calls_always,
            era: 1,
            store: State::default(),
            copies: vec![State::default()],
            vms: (0..VMS).map(vm).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            platform: Vec::new(),
            stale: 0,
            broken: None,
        }
    }

    /// Returns the time by a VM's clock.
    fn time(&self, vm: usize) -> TimePoint {
        at(self.now.saturating_sub(self.vms[vm].lag))
    }

    fn is_held(&self, vm: usize) -> bool {
        self.vms[vm].duty.is_held(self.time(vm))
    }

    /// Returns the events that may come next. VMs are alike, so one that hasn't done anything is the next by number.
    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = WAITS.map(Event::Wait).to_vec();
        let used = self.vms.iter().rposition(|it| it.starts > 0 || it.begun.is_some());
        let used = used.max(self.platform.iter().map(|it| it.1).max());
        let candidates = used.map_or(0, |it| it + 1).min(VMS - 1);
        for vm in 0..=candidates {
            let Vm { condition, begun, .. } = &self.vms[vm];
            if *condition != Condition::Running {
                events.push(Event::Wake(vm));
                continue;
            }
            let names = self.store.items.get(&Key::Holder).is_some_and(|it| it.vm == vm);
            match begun {
                Some(_) => events.extend(DELIVERIES.map(|it| Event::Commit(vm, it))),
                None if self.is_held(vm) => {
                    events.extend(DELIVERIES.map(|it| Event::Keep(vm, it)));
                    events.push(Event::Stop(vm, Delivery::Prompt));
                    events.push(Event::Stop(vm, Delivery::LateExecution));
                    events.extend([Event::Freeze, Event::CutOff, Event::Pause].map(|it| it(vm)));
                    events.push(Event::ClockBack(vm));
                    events.push(Event::Ask(vm, Delivery::LateAnswer));
                    if !self.calls_always {
                        events.push(Event::Ask(vm, Delivery::Prompt));
                    }
                }
                None if names => events.push(Event::RemoveOwn(vm)),
                None if !self.store.items.contains_key(&Key::Holder) => {
                    events.push(Event::Begin(vm));
                }
                None => {}
            }
            if used.is_some_and(|it| vm <= it) {
                events.push(Event::Kill(vm));
            }
        }
        if !self.calls.is_empty() {
            events.push(Event::Execute);
        }
        if !self.answers.is_empty() {
            events.extend([Event::Deliver, Event::DeliverTwice]);
        }
        if !self.platform.is_empty() {
            events.push(Event::OtherLease);
            let copies = 0..self.copies.len();
            events
                .extend(copies.flat_map(|it| [Event::Return(it, false), Event::Return(it, true)]));
        }
        events
    }

    fn take(&mut self, event: Event) {
        let revision = (self.era, self.store.revision, self.store.last_lease);
        match event {
            Event::Wait(units) => {
                for _ in 0..units {
                    self.now += 1;
                    for it in &mut self.vms {
                        it.ran += u64::from(it.condition.runs());
                        it.lag += u64::from(it.condition == Condition::Paused);
                    }
                    self.store.expire(self.now);
                    self.act();
                }
            }
            Event::Begin(vm) => self.begin(vm),
            Event::Commit(vm, delivery) => {
                if let Some((takeover, term_revision, lease)) = self.vms[vm].begun.take() {
                    if delivery == Delivery::LateExecution {
                        self.vms[vm].duty.abandon_takeover();
                    }
                    self.send(vm, Call::Takeover { vm, takeover, term_revision, lease }, delivery);
                }
            }
            Event::Keep(vm, delivery) => {
                let now = self.time(vm);
                match self.vms[vm].duty.next_step(now) {
                    LeaseStep::Over(_) => {}
                    LeaseStep::Renew => self.renew(vm, delivery),
                    LeaseStep::ReadClaim => {
                        if let Some(number) = self.vms[vm].duty.held_number() {
                            self.send(vm, Call::ReadClaim(number), delivery);
                        }
                    }
                }
            }
            Event::Ask(vm, delivery) => self.ask(vm, delivery),
            Event::RemoveOwn(vm) => self.remove_own(vm),
            Event::Stop(vm, delivery) => {
                let now = self.time(vm);
                if let Some((number, claim)) = self.vms[vm].duty.give_up(now) {
                    let claim = claim & ((1 << 44) - 1);
                    self.send(vm, Call::Remove(number, claim), delivery);
                }
                self.restart(vm);
            }
            Event::Kill(vm) => self.restart(vm),
            Event::Freeze(vm) => {
                self.vms[vm].condition = Condition::Frozen;
                // A clock that is behind may show a part of the lease that is over.
                self.vms[vm].pauses += u32::from(self.vms[vm].lag > 0);
            }
            Event::CutOff(vm) => self.vms[vm].condition = Condition::CutOff,
            Event::Pause(vm) => {
                self.vms[vm].condition = Condition::Paused;
                self.vms[vm].pauses += 1;
            }
            Event::Wake(vm) => self.vms[vm].condition = Condition::Running,
            Event::ClockBack(vm) => {
                self.vms[vm].lag += WAITS[1];
                self.vms[vm].pauses += 1;
            }
            Event::Execute => {
                let call = self.calls.remove(0);
                self.store.execute(call, self.era, self.now);
            }
            Event::Deliver | Event::DeliverTwice => {
                let (vm, starts, era, answer) = self.answers[0].clone();
                if event == Event::Deliver {
                    self.answers.remove(0);
                }
                let Vm { starts: current, condition, .. } = self.vms[vm];
                if current == starts && condition.runs() {
                    self.deliver(vm, era, answer);
                }
            }
            Event::OtherLease => {
                self.store.grant(None);
                self.store.revision += 1;
            }
            Event::Return(copy, ends_soon) => {
                self.store = self.copies[copy].clone();
                self.era += 1;
                let until = if ends_soon { self.now + 1 } else { self.now + TTL };
                for it in self.store.leases.values_mut().flatten() {
                    *it = until;
                }
            }
        }
        if revision != (self.era, self.store.revision, self.store.last_lease)
            && !matches!(event, Event::Return(..))
        {
            self.copies.push(self.store.clone());
        }
        self.act();
    }

    fn begin(&mut self, vm: usize) {
        let term = self.store.items.get(&Key::Term).map(|it| it.term.clone());
        let term_revision = self.store.revision_of(Key::Term);
        let now = self.time(vm);
        let duty = &mut self.vms[vm].duty;
        duty.record_era(self.era, now);
        let read_at = in_era(self.era, term_revision);
        let takeover = duty.begin_takeover(&term.unwrap_or_default(), read_at, now);
        if let Ok(takeover) = takeover {
            let lease = self.store.grant(Some(self.now + TTL));
            self.vms[vm].begun = Some((takeover, term_revision, lease));
        }
    }

    fn remove_own(&mut self, vm: usize) {
        let now = self.time(vm);
        let duty = &mut self.vms[vm].duty;
        duty.record_era(self.era, now);
        duty.abandon_takeover();
        if !duty.may_remove_own_keys(now) {
            return;
        }
        let Some(term) = self.store.items.get(&Key::Term).filter(|it| it.vm == vm) else { return };
        let number = term.term.number;
        let claim = self.store.revision_of(Key::Claim(number));
        if claim != 0 {
            self.send(vm, Call::Remove(number, claim), Delivery::Prompt);
        }
    }

    fn restart(&mut self, vm: usize) {
        let duty = DutyLease::new(&name(vm), UNIT * TTL as u32, self.time(vm), false);
        let it = &mut self.vms[vm];
        (it.duty, it.condition, it.begun, it.call) = (duty, Condition::Running, None, None);
        it.starts += 1;
    }

    fn send(&mut self, vm: usize, call: Call, delivery: Delivery) {
        if delivery == Delivery::LateExecution {
            self.calls.push(call);
            return;
        }
        let answer = self.store.execute(call, self.era, self.now);
        if delivery == Delivery::Prompt {
            self.deliver(vm, self.era, answer);
        } else {
            self.answers.push((vm, self.vms[vm].starts, self.era, answer));
        }
    }

    fn deliver(&mut self, vm: usize, era: u64, answer: Answer) {
        let now = self.time(vm);
        let duty = &mut self.vms[vm].duty;
        duty.record_era(era, now);
        match answer {
            Answer::Taken(takeover, lease) => {
                duty.complete_takeover(takeover, lease, now);
            }
            Answer::Claim(number, read) => {
                duty.record_claim(number, read);
            }
            Answer::Confirmed(asked) => self.confirm(vm, asked),
            Answer::Renewed(sent_at) => {
                duty.record_renewal(sent_at, now);
            }
            Answer::LeaseEnded => duty.end(TermEnd::LeaseEnded),
            Answer::Refused => {}
        }
    }

    fn renew(&mut self, vm: usize, delivery: Delivery) {
        let sent_at = self.time(vm);
        if let Some(lease) = self.vms[vm].duty.lease() {
            self.send(vm, Call::Renew { lease, sent_at }, delivery);
        }
    }

    /// Lets a VM that may act ask the store to confirm its term for a call.
    fn ask(&mut self, vm: usize, delivery: Delivery) {
        let Vm { ran, pauses, .. } = self.vms[vm];
        let sent_at = self.time(vm);
        let Some(number) = self.vms[vm].duty.fencing_number(sent_at) else { return };
        if let Some(lease) = self.vms[vm].duty.lease() {
            self.send(vm, Call::Confirm(Asked { number, sent_at, ran, pauses }, lease), delivery);
        }
    }

    /// Begins the call that was asked for, unless the answer came too late.
    fn confirm(&mut self, vm: usize, asked: Asked) {
        let now = self.time(vm);
        let Vm { duty, ran, call, .. } = &mut self.vms[vm];
        if *ran > asked.ran + CONFIRMATION_TIME || duty.held_number() != Some(asked.number) {
            return;
        }
        let confirmation = duty.record_renewal(asked.sent_at, now);
        if let Some(number) = confirmation.and_then(|it| duty.begin_call(it, now)) {
            *call = Some((number, *ran, asked));
        }
    }

    /// Lets all VMs that run act, and judges their calls, also those that began earlier and arrive now.
    fn act(&mut self) {
        for vm in 0..VMS {
            match self.vms[vm].condition {
                Condition::Running if self.calls_always => self.ask(vm, Delivery::Prompt),
                Condition::Running | Condition::CutOff => {}
                Condition::Frozen | Condition::Paused => continue,
            }
            let now = self.time(vm);
            let Vm { duty, call, ran, pauses, .. } = &mut self.vms[vm];
            let is_under_way = |(number, began, _): &(FencingNumber, u64, Asked)| {
                *ran <= began + CALL_TIME && duty.may_finish_call(*number, now)
            };
            let Some((number, _, asked)) = call.filter(is_under_way) else { continue };
            duty.end_call(now);
            if asked.pauses < *pauses {
                self.stale += 1;
                continue;
            }
            self.judge(vm, number.0);
            self.platform.push((self.now, vm, number.0));
        }
    }

    fn judge(&mut self, vm: usize, number: u64) {
        let calls = &self.platform;
        let newest = calls.iter().map(|it| it.2).max().unwrap_or_default();
        let is_shared = calls.iter().any(|it| it.2 == number && it.1 != vm);
        let own = calls.iter().rposition(|it| it.1 == vm);
        let returns_early =
            own.is_some_and(|it| it + 1 < calls.len() && self.now < calls[it].0 + TTL);
        let what = match () {
            () if number < newest => "acts under a lower number than one before",
            () if is_shared => "acts under the number of another VM",
            () if returns_early => "acts again within a lease after another has acted",
            () => return,
        };
        self.broken.get_or_insert_with(|| format!("at {} vm-{vm} {what}: {number:#x}", self.now));
    }
}

/// Plays all histories that go on from a world, and returns their number or the first that breaks a rule.
fn search(world: &World, depth: usize, history: &mut Vec<Event>) -> Result<u64, String> {
    if let Some(broken) = &world.broken {
        return Err(format!("{broken}\n{history:?}"));
    }
    if depth == 0 {
        return Ok(1);
    }
    let mut histories = 0;
    for event in world.events() {
        let mut next = world.clone();
        next.take(event);
        history.push(event);
        histories += search(&next, depth - 1, history)?;
        history.pop();
    }
    Ok(histories)
}

/// Number of events of the histories that are searched; `DUTY_EVENTS` overrides it.
fn depth() -> usize {
    std::env::var("DUTY_EVENTS").ok().and_then(|it| it.parse().ok()).unwrap_or(5)
}

/// Returns the number of random histories; `DUTY_SEEDS` overrides it.
fn seeds() -> u64 {
    std::env::var("DUTY_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(10_000)
}

fn short_histories(calls_always: bool) {
    let mut first = World::new(calls_always);
    first.take(Event::Begin(0));
    first.take(Event::Commit(0, Delivery::Prompt));
    match search(&first, depth(), &mut Vec::new()) {
        Ok(histories) => eprintln!("{histories} histories"),
        Err(broken) => panic!("{broken}"),
    }
}

fn random_histories(calls_always: bool) {
    let (mut acting, mut units, mut stale) = (0, 0, 0);
    for seed in 0..seeds() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(calls_always);
        let mut history = Vec::new();
        for _ in 0..40 {
            let mut events = world.events();
            if rng.random::<f64>() < 0.8 {
                events.retain(Event::is_undisturbed);
            }
            let event = events[rng.random_range(0..events.len())];
            history.push(event);
            world.take(event);
            assert!(world.broken.is_none(), "seed {seed}: {:?}\n{history:?}", world.broken);
        }
        let mut times: Vec<u64> = world.platform.iter().map(|it| it.0).collect();
        times.dedup();
        acting += times.len() as u64;
        units += world.now;
        stale += world.stale;
    }
    eprintln!("{acting} of {units} units with a holder that acts, {stale} stale calls");
    assert!(acting * 5 > units || !calls_always, "only {acting} of {units}");
}

cases! { short_histories:
    no_short_history_breaks_the_order_of_holders => true;
    no_short_history_breaks_the_order_of_holders_that_call_rarely => false;
}

cases! { random_histories:
    no_random_history_breaks_the_order_of_holders => true;
    no_random_history_breaks_the_order_of_holders_that_call_rarely => false;
}
