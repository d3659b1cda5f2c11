//! One slot of the ledger: `(now, event) -> actions`.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;
use quincevalve_ports::store::KeyVersion;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    claim::{Claim, ClaimKey, Ticket, Verdict},
    format::{Entry, Head, Segment},
};

/// Settings of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSettings {
    /// The shortest time between two writes. It bounds the store's load, and it leaves a VM that takes a
    /// slot over from a busy one the time to read and swap.
    pub pace: Duration,
    /// Claims in the head above which they are sealed into a segment.
    pub segment_entries: usize,
    /// Claims in one write.
    pub batch: usize,
    /// How long a claim is kept, in seconds.
    pub retention_s: u64,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            pace: Duration::from_millis(200),
            segment_entries: 256,
            batch: 512,
            retention_s: 3_600,
        }
    }
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The value, if the key exists.
    Found(Option<T>),
    /// The store didn't answer.
    Failed,
}

/// How a swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect; this is the new version.
    Written(KeyVersion),
    /// Another writer was first; nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// What happens to a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotEvent {
    /// A claim arrives; it is answered by `give_up_at` at the latest.
    Claim {
        /// Its number.
        ticket: Ticket,
        /// The claim.
        claim: Claim,
        /// The latest time for an answer.
        give_up_at: TimePoint,
    },
    /// [`SlotAction::ReadHead`] ended.
    HeadRead(ReadOutcome<(KeyVersion, Head)>),
    /// [`SlotAction::ReadSegment`] ended.
    SegmentRead(u64, ReadOutcome<Segment>),
    /// [`SlotAction::WriteSegment`] ended.
    SegmentWritten(SwapOutcome),
    /// [`SlotAction::SwapHead`] ended.
    HeadSwapped(SwapOutcome),
    /// Time passed.
    Tick,
}

/// What a slot wants done. At most one store call is under way at a time, but for segments, which never
/// change and are read side by side.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotAction {
    /// Read the head.
    ReadHead,
    /// Read a segment.
    ReadSegment(u64),
    /// Write a segment that must not exist yet.
    WriteSegment(u64, Segment),
    /// Swap the head.
    SwapHead {
        /// The version that it must be at.
        expected: KeyVersion,
        /// The new head.
        head: Head,
    },
    /// Delete a segment that no head names any more; whether it succeeds doesn't matter.
    DropSegment(u64),
    /// Answer a claim.
    Answer(Ticket, Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: Ticket,
    claim: Claim,
    give_up_at: TimePoint,
}

#[derive(Clone, Debug)]
enum Phase {
    /// What the store holds isn't known; nothing is under way.
    Unread,
    /// The head is being read.
    ReadingHead,
    /// Segments are being read, several at a time; `asked` is the first that wasn't asked for yet.
    ReadingSegments { version: KeyVersion, head: Head, asked: u64 },
    /// Known, up to this version.
    Ready { version: KeyVersion },
    /// A full head is being sealed into a segment.
    Sealing { version: KeyVersion, number: u64 },
    /// Somebody sealed this number before; what they wrote is being read.
    CheckingSeal { version: KeyVersion, number: u64 },
    /// A batch is being written.
    Writing { head: Head, dropped: Vec<u64> },
}

/// The slot's core.
///
/// Failure: two VMs both believe that they own the slot, since one was paused past a change of owner, or
/// they are cut off from each other. Symptom without a fence: both grant the same key, and a seat is
/// booked twice. Here a claim is granted only after a swap that expected exactly the version whose claims
/// this VM has read in full. The store lets one of two such swaps win; the loser reads the winner's
/// claims before it tries again, and finds the key taken.
///
/// Failure: the answer to a swap is lost. Then the head is read back: a claim that is in it under the
/// same request was granted. One that isn't is written again; should the lost write land late, it expects
/// a version that is gone, or it lands first and is found by the next read.
#[derive(Clone, Debug)]
pub struct Slot {
    settings: SlotSettings,
    writer: String,
    phase: Phase,
    head: Head,
    known: FxHashMap<ClaimKey, Entry>,
    segment_newest: FxHashMap<u64, u64>,
    pending: VecDeque<Pending>,
    next_write_at: TimePoint,
}

impl Slot {
    /// Makes a slot that has read nothing yet.
    pub fn new(settings: SlotSettings, writer: &str) -> Self {
        Self {
            settings,
            writer: writer.to_owned(),
            phase: Phase::Unread,
            head: Head::default(),
            known: FxHashMap::default(),
            segment_newest: FxHashMap::default(),
            pending: VecDeque::new(),
            next_write_at: TimePoint::ZERO,
        }
    }

    /// Takes an event and appends what has to be done.
    pub fn handle(&mut self, now: TimePoint, event: SlotEvent, actions: &mut Vec<SlotAction>) {
        match event {
            SlotEvent::Claim { ticket, claim, give_up_at } => {
                self.pending.push_back(Pending { ticket, claim, give_up_at });
            }
            SlotEvent::HeadRead(outcome) => self.head_read(now, outcome, actions),
            SlotEvent::SegmentRead(number, outcome) => {
                self.segment_read(now, number, outcome, actions);
            }
            SlotEvent::SegmentWritten(outcome) => self.segment_written(now, outcome, actions),
            SlotEvent::HeadSwapped(outcome) => self.head_swapped(now, outcome, actions),
            SlotEvent::Tick => {}
        }
        self.give_up(now, actions);
        self.go_on(now, actions);
    }

    /// When the slot wants a [`SlotEvent::Tick`].
    pub fn wants_tick_at(&self) -> Option<TimePoint> {
        let give_up = self.pending.iter().map(|it| it.give_up_at).min()?;
        Some(match self.phase {
            Phase::Ready { .. } | Phase::Unread => give_up.min(self.next_write_at),
            _ => give_up,
        })
    }

    /// Claims known to be taken.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Starts the next store call, if none is under way and there is a reason for one.
    fn go_on(&mut self, now: TimePoint, actions: &mut Vec<SlotAction>) {
        if self.pending.is_empty() || now < self.next_write_at {
            return;
        }
        match self.phase {
            Phase::Unread => {
                self.phase = Phase::ReadingHead;
                actions.push(SlotAction::ReadHead);
            }
            Phase::Ready { version } => self.write(version, actions),
            _ => {}
        }
    }

    fn write(&mut self, version: KeyVersion, actions: &mut Vec<SlotAction>) {
        self.answer_known(actions);
        if self.pending.is_empty() {
            return;
        }
        if self.head.open.len() >= self.settings.segment_entries {
            self.seal(version, self.head.next_segment, actions);
            return;
        }
        self.swap(version, self.head.clone(), actions);
    }

    fn seal(&mut self, version: KeyVersion, number: u64, actions: &mut Vec<SlotAction>) {
        self.phase = Phase::Sealing { version, number };
        let segment = Segment { entries: self.head.open.clone() };
        actions.push(SlotAction::WriteSegment(number, segment));
    }

    /// Answers the claims whose key is known, one way or the other.
    fn answer_known(&mut self, actions: &mut Vec<SlotAction>) {
        let known = &self.known;
        self.pending.retain(|it| match known.get(&it.claim.key) {
            Some(entry) => {
                actions.push(SlotAction::Answer(it.ticket, verdict_of(entry, &it.claim)));
                false
            }
            None => true,
        });
    }

    fn swap(&mut self, version: KeyVersion, mut head: Head, actions: &mut Vec<SlotAction>) {
        // A claim can have arrived while the head was being sealed, and its key can be known. Written
        // again, it would stand in the store beside the first one, and both would be granted.
        self.answer_known(actions);
        let mut batch: FxHashSet<ClaimKey> = FxHashSet::default();
        for pending in &self.pending {
            // Of two claims of one key in a batch the first is written; the other finds it.
            let is_new = batch.insert(pending.claim.key);
            if is_new && batch.len() <= self.settings.batch {
                head.open.push(Entry::from(&pending.claim));
            }
        }
        head.writer.clone_from(&self.writer);
        let dropped = self.pass_old_segments(&mut head);
        self.phase = Phase::Writing { head: head.clone(), dropped };
        actions.push(SlotAction::SwapHead { expected: version, head });
    }

    /// Moves the head past segments whose newest claim is older than the retention.
    fn pass_old_segments(&self, head: &mut Head) -> Vec<u64> {
        let oldest_kept = self.oldest_kept(head);
        let mut passed = Vec::new();
        while head.first_segment < head.next_segment
            && self.segment_newest.get(&head.first_segment).is_some_and(|it| *it < oldest_kept)
        {
            passed.push(head.first_segment);
            head.first_segment += 1;
        }
        passed
    }

    fn oldest_kept(&self, head: &Head) -> u64 {
        let newest = head.open.last().map_or(0, |it| it.at);
        newest.saturating_sub(self.settings.retention_s)
    }

    /// Drops the segments that the head has passed: only now, since until the swap is known to be
    /// written another VM may still need them.
    fn drop_segments(&mut self, head: &Head, passed: &[u64], actions: &mut Vec<SlotAction>) {
        if passed.is_empty() {
            return;
        }
        let oldest_kept = self.oldest_kept(head);
        self.known.retain(|_, it| it.at >= oldest_kept);
        for number in passed {
            self.segment_newest.remove(number);
            actions.push(SlotAction::DropSegment(*number));
        }
    }

    fn head_read(
        &mut self,
        now: TimePoint,
        outcome: ReadOutcome<(KeyVersion, Head)>,
        actions: &mut Vec<SlotAction>,
    ) {
        if !matches!(self.phase, Phase::ReadingHead) {
            return;
        }
        match outcome {
            // In an outage the store isn't asked faster than at any other time.
            ReadOutcome::Failed => {
                self.phase = Phase::Unread;
                self.next_write_at = now + self.settings.pace;
            }
            ReadOutcome::Found(found) => {
                let (version, head) = found.unwrap_or((KeyVersion::ABSENT, Head::default()));
                self.read_segments(version, head, actions);
            }
        }
    }

    /// Reads the segments that aren't known yet; segments never change, so known ones needn't be read.
    ///
    /// Failure: a slot with hundreds of segments is taken over, and they are read one after the other.
    /// Symptom: claims wait for seconds and are refused as unsettled. Side by side it takes a tenth.
    fn read_segments(&mut self, version: KeyVersion, head: Head, actions: &mut Vec<SlotAction>) {
        let mut asked = head.first_segment;
        let mut under_way = 0;
        while asked < head.next_segment && under_way < SEGMENTS_AT_ONCE {
            if !self.segment_newest.contains_key(&asked) {
                actions.push(SlotAction::ReadSegment(asked));
                under_way += 1;
            }
            asked += 1;
        }
        if under_way == 0 {
            return self.become_ready(version, head, actions);
        }
        self.phase = Phase::ReadingSegments { version, head, asked };
    }

    /// Asks for the next segment, or finishes when the last one has come.
    fn read_next_segment(
        &mut self,
        version: KeyVersion,
        head: Head,
        asked: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let unknown = |it: &u64| !self.segment_newest.contains_key(it);
        if let Some(next) = (asked..head.next_segment).find(unknown) {
            actions.push(SlotAction::ReadSegment(next));
            self.phase = Phase::ReadingSegments { version, head, asked: next + 1 };
        } else if (head.first_segment..head.next_segment).any(|it| unknown(&it)) {
            let asked = head.next_segment;
            self.phase = Phase::ReadingSegments { version, head, asked };
        } else {
            self.become_ready(version, head, actions);
        }
    }

    fn segment_read(
        &mut self,
        now: TimePoint,
        number: u64,
        outcome: ReadOutcome<Segment>,
        actions: &mut Vec<SlotAction>,
    ) {
        let phase = std::mem::replace(&mut self.phase, Phase::Unread);
        // A missing segment was dropped by a newer head, so that newer head has to be read; the phase
        // is `Unread` for that.
        match (phase, outcome) {
            (
                Phase::ReadingSegments { version, head, asked },
                ReadOutcome::Found(Some(segment)),
            ) => {
                self.learn_segment(number, &segment.entries);
                self.read_next_segment(version, head, asked, actions);
            }
            (
                Phase::CheckingSeal { version, number: sealed },
                ReadOutcome::Found(Some(segment)),
            ) if sealed == number => {
                self.seal_checked(version, number, &segment, actions);
            }
            (Phase::ReadingSegments { .. }, _) => {
                self.next_write_at = now + self.settings.pace;
            }
            (Phase::CheckingSeal { number: sealed, .. }, _) if sealed == number => {
                self.next_write_at = now + self.settings.pace;
            }
            // A read that was asked for before something else went wrong.
            (phase, _) => self.phase = phase,
        }
    }

    /// Takes what somebody else sealed under the number.
    ///
    /// Failure: two versions of the program seal at different lengths. Symptom: a head is emptied though
    /// the segment holds only a part of it, and a claim is lost. So the contents are compared; a
    /// segment with other contents stays in the list, and the next number is tried.
    fn seal_checked(
        &mut self,
        version: KeyVersion,
        number: u64,
        segment: &Segment,
        actions: &mut Vec<SlotAction>,
    ) {
        if segment.entries == self.head.open {
            return self.sealed(version, number, actions);
        }
        self.learn_segment(number, &segment.entries);
        self.seal(version, number + 1, actions);
    }

    fn sealed(&mut self, version: KeyVersion, number: u64, actions: &mut Vec<SlotAction>) {
        let entries = std::mem::take(&mut self.head.open);
        self.learn_segment(number, &entries);
        let head = Head { next_segment: number + 1, ..self.head.clone() };
        self.swap(version, head, actions);
    }

    fn learn_segment(&mut self, number: u64, entries: &[Entry]) {
        let newest = entries.iter().map(|it| it.at).max().unwrap_or(0);
        self.segment_newest.insert(number, newest);
        self.known.extend(entries.iter().map(|it| (it.key, *it)));
    }

    fn become_ready(&mut self, version: KeyVersion, head: Head, actions: &mut Vec<SlotAction>) {
        self.known.extend(head.open.iter().map(|it| (it.key, *it)));
        self.head = head;
        self.phase = Phase::Ready { version };
        self.answer_known(actions);
    }

    fn segment_written(
        &mut self,
        now: TimePoint,
        outcome: SwapOutcome,
        actions: &mut Vec<SlotAction>,
    ) {
        let Phase::Sealing { version, number } = self.phase else { return };
        match outcome {
            SwapOutcome::Written(_) => self.sealed(version, number, actions),
            SwapOutcome::Conflict => {
                self.phase = Phase::CheckingSeal { version, number };
                actions.push(SlotAction::ReadSegment(number));
            }
            SwapOutcome::NotWritten | SwapOutcome::Unknown => {
                self.next_write_at = now + self.settings.pace;
                self.phase = Phase::Unread;
            }
        }
    }

    fn head_swapped(
        &mut self,
        now: TimePoint,
        outcome: SwapOutcome,
        actions: &mut Vec<SlotAction>,
    ) {
        let phase = std::mem::replace(&mut self.phase, Phase::Unread);
        let Phase::Writing { head, dropped } = phase else {
            self.phase = phase;
            return;
        };
        self.next_write_at = now + self.settings.pace;
        match outcome {
            SwapOutcome::Written(version) => {
                self.drop_segments(&head, &dropped, actions);
                self.become_ready(version, head, actions);
            }
            // Somebody else's claims have to be read before anything is granted; at once, since a
            // reader that waits its pace again and again could lose to a busy writer forever.
            SwapOutcome::Conflict | SwapOutcome::Unknown => {
                self.forget_open();
                self.phase = Phase::ReadingHead;
                self.next_write_at = now;
                actions.push(SlotAction::ReadHead);
            }
            SwapOutcome::NotWritten => self.forget_open(),
        }
    }

    /// Forgets what was only planned. Claims in `known` are in the store, and claims are never undone,
    /// so those stay.
    fn forget_open(&mut self) {
        self.head = Head::default();
        let Some(last) = self.segment_newest.keys().max().copied() else { return };
        // The segment that was sealed last may not be named by any head yet; reading it again is cheap.
        self.segment_newest.remove(&last);
    }

    fn give_up(&mut self, now: TimePoint, actions: &mut Vec<SlotAction>) {
        self.pending.retain(|it| {
            let keep = it.give_up_at > now;
            if !keep {
                actions.push(SlotAction::Answer(it.ticket, Verdict::Unsettled));
            }
            keep
        });
    }
}

/// Segments that are read at the same time.
const SEGMENTS_AT_ONCE: u32 = 16;

fn verdict_of(entry: &Entry, claim: &Claim) -> Verdict {
    if entry.request == claim.request {
        return Verdict::Granted;
    }
    Verdict::Taken { request: entry.request, fingerprint: entry.fingerprint }
}
