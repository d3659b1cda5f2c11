//! The core of one slot of the ledger: `(now, event) -> actions`.

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
    /// Minimum time between two writes. Limits the load on the store, and gives a VM that takes over a slot from a
    /// busy VM enough time to read and swap.
    pub write_interval: Duration,
    /// Number of claims in the head from which they are sealed into a segment.
    pub segment_entries: usize,
    /// Maximum number of claims in one write.
    pub max_batch_claims: usize,
    /// Retention time of a claim, in seconds.
    pub retention_s: u64,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(200),
            segment_entries: 256,
            max_batch_claims: 512,
            retention_s: 3_600,
        }
    }
}

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The store answered, with the value if the key exists.
    Found(Option<T>),
    /// The store didn't answer, or its value can't be parsed.
    Failed,
}

/// The outcome of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The swap took effect; holds the new version.
    Written(KeyVersion),
    /// Nothing was written, since another writer changed the key first.
    Conflict,
    /// Nothing was written, for another reason than a conflict.
    NotWritten,
    /// The swap may have taken effect.
    Unknown,
}

/// An input of the slot's core.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotEvent {
    /// A claim arrives. It is answered by `deadline` at the latest.
    Claim {
        /// The number of the claim.
        ticket: Ticket,
        /// The claim.
        claim: Claim,
        /// Time by which the claim is answered.
        deadline: TimePoint,
    },
    /// [`SlotAction::ReadHead`] has completed.
    HeadRead(ReadOutcome<(KeyVersion, Head)>),
    /// [`SlotAction::ReadSegment`] has completed.
    SegmentRead(u64, ReadOutcome<Segment>),
    /// [`SlotAction::WriteSegment`] has completed.
    SegmentWritten(SwapOutcome),
    /// [`SlotAction::SwapHead`] has completed.
    HeadSwapped(SwapOutcome),
    /// Time has passed.
    Tick,
}

/// An output of the slot's core.
///
/// At most one store call is in flight at a time, except for reads of segments, which are immutable and are read
/// concurrently.
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
        /// The version that the stored head must have.
        expected: KeyVersion,
        /// The new head.
        head: Head,
    },
    /// Delete a segment that the head no longer lists. The outcome isn't reported back.
    DeleteSegment(u64),
    /// Answer a claim.
    Answer(Ticket, Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: Ticket,
    claim: Claim,
    deadline: TimePoint,
}

#[derive(Clone, Debug)]
enum Phase {
    /// The stored state isn't known and no call is in flight.
    Unread,
    /// The head is being read.
    ReadingHead,
    /// Segments are being read concurrently; `next_to_request` is the first one that hasn't been requested yet.
    ReadingSegments { version: KeyVersion, head: Head, next_to_request: u64 },
    /// All claims up to this version are known.
    Ready { version: KeyVersion },
    /// The claims of a full head are being written into a segment.
    Sealing { version: KeyVersion, number: u64 },
    /// Another writer has sealed this number before; its segment is being read.
    CheckingSeal { version: KeyVersion, number: u64 },
    /// A batch is being written.
    Writing { head: Head, dropped: Vec<u64> },
}

/// The core of a slot.
///
/// Two VMs may both believe that they own the slot, because one was paused during a change of owner or because of a
/// network partition. Without a fence, both would grant the same key and a non-idempotent request would run twice.
/// Therefore a claim is granted only after a swap that expected exactly the version whose claims this VM has read in
/// full. Of two such swaps, the store accepts one; the other VM reads the winner's claims before it retries, and
/// finds the key taken.
///
/// If the answer to a swap is lost, the head is read again. A claim that the head lists with the same request is
/// granted. Other claims are written again. If the earlier swap takes effect late, either it fails, since the version
/// that it expects has been replaced, or it takes effect first, and the next read finds its claims.
#[derive(Clone, Debug)]
pub struct Slot {
    settings: SlotSettings,
    writer: String,
    phase: Phase,
    head: Head,
    known_claims: FxHashMap<ClaimKey, Entry>,
    /// Time of the newest claim in each known segment, in seconds since 1970, by segment number.
    newest_claim_at: FxHashMap<u64, u64>,
    pending: VecDeque<Pending>,
    next_write_at: TimePoint,
}

impl Slot {
    /// Creates a slot that hasn't read anything yet.
    pub fn new(settings: SlotSettings, writer: &str) -> Self {
        Self {
            settings,
            writer: writer.to_owned(),
            phase: Phase::Unread,
            head: Head::default(),
            known_claims: FxHashMap::default(),
            newest_claim_at: FxHashMap::default(),
            pending: VecDeque::new(),
            next_write_at: TimePoint::ZERO,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: TimePoint, event: SlotEvent, actions: &mut Vec<SlotAction>) {
        match event {
            SlotEvent::Claim { ticket, claim, deadline } => {
                self.pending.push_back(Pending { ticket, claim, deadline });
            }
            SlotEvent::HeadRead(outcome) => self.head_read(now, outcome, actions),
            SlotEvent::SegmentRead(number, outcome) => {
                self.segment_read(now, number, outcome, actions);
            }
            SlotEvent::SegmentWritten(outcome) => self.segment_written(now, outcome, actions),
            SlotEvent::HeadSwapped(outcome) => self.head_swapped(now, outcome, actions),
            SlotEvent::Tick => {}
        }
        self.expire_claims(now, actions);
        self.start_next_call(now, actions);
    }

    /// Returns when the slot needs a [`SlotEvent::Tick`].
    pub fn next_tick_at(&self) -> Option<TimePoint> {
        let deadline = self.pending.iter().map(|it| it.deadline).min()?;
        Some(match self.phase {
            Phase::Ready { .. } | Phase::Unread => deadline.min(self.next_write_at),
            _ => deadline,
        })
    }

    /// Returns the number of known claims.
    pub fn len(&self) -> usize {
        self.known_claims.len()
    }

    /// Returns whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.known_claims.is_empty()
    }

    /// Starts the next store call if a claim is pending, no call is in flight and the next write is due.
    fn start_next_call(&mut self, now: TimePoint, actions: &mut Vec<SlotAction>) {
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

    /// Answers the pending claims whose key is known, granted or taken.
    fn answer_known(&mut self, actions: &mut Vec<SlotAction>) {
        let known_claims = &self.known_claims;
        self.pending.retain(|it| match known_claims.get(&it.claim.key) {
            Some(entry) => {
                actions.push(SlotAction::Answer(it.ticket, verdict_of(entry, &it.claim)));
                false
            }
            None => true,
        });
    }

    fn swap(&mut self, version: KeyVersion, mut head: Head, actions: &mut Vec<SlotAction>) {
        // A claim whose key is known may have arrived while the head was being sealed. If it were written too, the
        // store would hold two claims of the same key, and both would be granted.
        self.answer_known(actions);
        let mut batch: FxHashSet<ClaimKey> = FxHashSet::default();
        for pending in &self.pending {
            // Of several claims of one key, only the first is written; the others are answered from it.
            let is_new = batch.insert(pending.claim.key);
            if is_new && batch.len() <= self.settings.max_batch_claims {
                head.open.push(Entry::from(&pending.claim));
            }
        }
        head.writer.clone_from(&self.writer);
        let dropped = self.skip_expired_segments(&mut head);
        self.phase = Phase::Writing { head: head.clone(), dropped };
        actions.push(SlotAction::SwapHead { expected: version, head });
    }

    /// Advances the head past segments whose newest claim is older than the retention time, and returns their
    /// numbers.
    fn skip_expired_segments(&self, head: &mut Head) -> Vec<u64> {
        let retention_cutoff = self.retention_cutoff(head);
        let mut skipped = Vec::new();
        while head.first_segment < head.next_segment
            && self
                .newest_claim_at
                .get(&head.first_segment)
                .is_some_and(|it| *it < retention_cutoff)
        {
            skipped.push(head.first_segment);
            head.first_segment += 1;
        }
        skipped
    }

    /// Returns the time of the oldest claim that is retained, in seconds since 1970.
    fn retention_cutoff(&self, head: &Head) -> u64 {
        let newest = head.open.last().map_or(0, |it| it.at);
        newest.saturating_sub(self.settings.retention_s)
    }

    /// Deletes the segments that the head no longer lists.
    ///
    /// They are deleted only after the swap is known to have taken effect, since until then another VM may still
    /// need them.
    fn delete_segments(&mut self, head: &Head, skipped: &[u64], actions: &mut Vec<SlotAction>) {
        if skipped.is_empty() {
            return;
        }
        let retention_cutoff = self.retention_cutoff(head);
        self.known_claims.retain(|_, it| it.at >= retention_cutoff);
        for number in skipped {
            self.newest_claim_at.remove(number);
            actions.push(SlotAction::DeleteSegment(*number));
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
            // During an outage, the store isn't called more often than at other times.
            ReadOutcome::Failed => {
                self.phase = Phase::Unread;
                self.next_write_at = now + self.settings.write_interval;
            }
            ReadOutcome::Found(found) => {
                let (version, head) = found.unwrap_or((KeyVersion::ABSENT, Head::default()));
                self.read_segments(version, head, actions);
            }
        }
    }

    /// Reads the segments that aren't known yet; known ones are immutable and needn't be read again.
    ///
    /// If a VM that takes over a slot with hundreds of segments read them one after the other, claims would wait for
    /// seconds and be answered as unsettled. Concurrent reads take a tenth of the time.
    fn read_segments(&mut self, version: KeyVersion, head: Head, actions: &mut Vec<SlotAction>) {
        let mut next_to_request = head.first_segment;
        let mut in_flight = 0;
        while next_to_request < head.next_segment && in_flight < MAX_CONCURRENT_SEGMENT_READS {
            if !self.newest_claim_at.contains_key(&next_to_request) {
                actions.push(SlotAction::ReadSegment(next_to_request));
                in_flight += 1;
            }
            next_to_request += 1;
        }
        if in_flight == 0 {
            return self.become_ready(version, head, actions);
        }
        self.phase = Phase::ReadingSegments { version, head, next_to_request };
    }

    /// Requests the next unknown segment, or becomes ready once all segments have been read.
    fn read_next_segment(
        &mut self,
        version: KeyVersion,
        head: Head,
        next_to_request: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let unknown = |it: &u64| !self.newest_claim_at.contains_key(it);
        if let Some(next) = (next_to_request..head.next_segment).find(unknown) {
            actions.push(SlotAction::ReadSegment(next));
            self.phase = Phase::ReadingSegments { version, head, next_to_request: next + 1 };
        } else if (head.first_segment..head.next_segment).any(|it| unknown(&it)) {
            let next_to_request = head.next_segment;
            self.phase = Phase::ReadingSegments { version, head, next_to_request };
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
        // A missing segment was deleted after a newer head no longer listed it, so the newer head must be read: the
        // phase becomes `Unread`.
        match (phase, outcome) {
            (
                Phase::ReadingSegments { version, head, next_to_request },
                ReadOutcome::Found(Some(segment)),
            ) => {
                self.add_segment(number, &segment.entries);
                self.read_next_segment(version, head, next_to_request, actions);
            }
            (
                Phase::CheckingSeal { version, number: sealed },
                ReadOutcome::Found(Some(segment)),
            ) if sealed == number => {
                self.compare_sealed(version, number, &segment, actions);
            }
            (Phase::ReadingSegments { .. }, _) => {
                self.next_write_at = now + self.settings.write_interval;
            }
            (Phase::CheckingSeal { number: sealed, .. }, _) if sealed == number => {
                self.next_write_at = now + self.settings.write_interval;
            }
            // A read that was started in an earlier phase, which ended because of a failure.
            (phase, _) => self.phase = phase,
        }
    }

    /// Compares the segment that another writer sealed under the number with the open claims.
    ///
    /// Versions of the program may seal segments of different lengths. If the head were emptied although the segment
    /// holds only some of its claims, the other claims would be lost. A segment with different contents therefore
    /// stays listed, and the open claims are sealed under the next number.
    fn compare_sealed(
        &mut self,
        version: KeyVersion,
        number: u64,
        segment: &Segment,
        actions: &mut Vec<SlotAction>,
    ) {
        if segment.entries == self.head.open {
            return self.sealed(version, number, actions);
        }
        self.add_segment(number, &segment.entries);
        self.seal(version, number + 1, actions);
    }

    fn sealed(&mut self, version: KeyVersion, number: u64, actions: &mut Vec<SlotAction>) {
        let entries = std::mem::take(&mut self.head.open);
        self.add_segment(number, &entries);
        let head = Head { next_segment: number + 1, ..self.head.clone() };
        self.swap(version, head, actions);
    }

    fn add_segment(&mut self, number: u64, entries: &[Entry]) {
        let newest = entries.iter().map(|it| it.at).max().unwrap_or(0);
        self.newest_claim_at.insert(number, newest);
        self.known_claims.extend(entries.iter().map(|it| (it.key, *it)));
    }

    fn become_ready(&mut self, version: KeyVersion, head: Head, actions: &mut Vec<SlotAction>) {
        self.known_claims.extend(head.open.iter().map(|it| (it.key, *it)));
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
                self.next_write_at = now + self.settings.write_interval;
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
        self.next_write_at = now + self.settings.write_interval;
        match outcome {
            SwapOutcome::Written(version) => {
                self.delete_segments(&head, &dropped, actions);
                self.become_ready(version, head, actions);
            }
            // Another writer's claims must be read before anything is granted. The read starts immediately: a VM
            // that waited for `write_interval` each time could lose every swap to a busy writer.
            SwapOutcome::Conflict | SwapOutcome::Unknown => {
                self.discard_head();
                self.phase = Phase::ReadingHead;
                self.next_write_at = now;
                actions.push(SlotAction::ReadHead);
            }
            SwapOutcome::NotWritten => self.discard_head(),
        }
    }

    /// Discards the head, which may differ from the stored one. Claims in `known_claims` stay: they are in the store,
    /// and claims are never undone.
    fn discard_head(&mut self) {
        self.head = Head::default();
        let Some(last) = self.newest_claim_at.keys().max().copied() else { return };
        // The last sealed segment may not be listed by any stored head yet, so it is read again if needed.
        self.newest_claim_at.remove(&last);
    }

    /// Answers pending claims past their deadline as unsettled.
    fn expire_claims(&mut self, now: TimePoint, actions: &mut Vec<SlotAction>) {
        self.pending.retain(|it| {
            let keep = it.deadline > now;
            if !keep {
                actions.push(SlotAction::Answer(it.ticket, Verdict::Unsettled));
            }
            keep
        });
    }
}

/// Maximum number of segments that are read concurrently.
const MAX_CONCURRENT_SEGMENT_READS: u32 = 16;

fn verdict_of(entry: &Entry, claim: &Claim) -> Verdict {
    if entry.request == claim.request {
        return Verdict::Granted;
    }
    Verdict::Taken { request: entry.request, fingerprint: entry.fingerprint }
}
