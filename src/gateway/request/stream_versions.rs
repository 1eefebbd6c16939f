//! Finds out at which software version a stream began that a caller takes up at any gateway.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    net::UdpSocket,
    sync::{
        Mutex,
        mpsc::{UnboundedSender, unbounded_channel},
    },
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{Refusal, forward::Forwarding, select::Selected};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        controllers::{read_once, read_version_record},
        decide::{BegunStream, Mechanism, StoreMillis},
        model::{RequestDigest, ServiceName, UpstreamVersion, WatchedData},
        peering::{KnownVersion, StreamVersionMessage},
        telemetry::Event,
    },
    telemetry::count,
};

/// Gateways that are told of a stream, besides the one where it began. With fewer, more streams are
/// refused after gateways were lost together.
pub const KEEPERS: usize = 3;
/// Gateways that are asked about a stream: one more than are told, since the asking gateway may know
/// of another that the telling one did not.
const KEEPERS_TO_ASK: usize = KEEPERS + 1;
/// Time for which answers of other gateways are awaited. A shorter one refuses streams whose
/// keepers are far away; a longer one delays the refusal of those that nobody knows.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a list of upstreams as of the question is awaited. A shorter one refuses streams while
/// the store is slow; a longer one delays the refusal.
const LIST_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the record of versions as of the question is awaited. After a loss of all gateways
/// nobody else can tell, and a slow store is read twice by those who ask during another's read.
const RECORD_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest interval between reads of the list for questions. Each read is billed.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of whether a list that was read has been applied.
const APPLY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The same for the record of versions. After a loss of all gateways each of them reads it, and the store
/// answers a limited number of calls a second to all together.
const RECORD_READ_SPACING: Duration = Duration::from_millis(1);
/// Longest time for which a new stream waits until one of the listed versions is recorded. A shorter one
/// refuses streams at a new service while the store is slow; a longer one delays the refusal.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks of that.
const RECORDING_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Questions to other gateways that await answers.
#[derive(Debug, Default)]
pub struct StreamVersionQuestions {
    socket: OnceCell<Rc<UdpSocket>>,
    pending: RefCell<HashMap<u64, UnboundedSender<KnownVersion>>>,
    last_number: Cell<u64>,
    /// When the list of upstreams was last read for a question; held during such a read.
    list_read: Mutex<Option<Instant>>,
    /// When the record of versions was last read for a question; held during such a read.
    record_read: Mutex<Option<Instant>>,
}

/// What the version at which a stream began, or the refusal to name one, rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// This gateway was told of the stream.
    RecordedHere,
    /// Another gateway was told of it.
    RecordedElsewhere,
    /// The service has had no other version for longer than a stream lasts.
    Sole,
    /// A gateway says so, but the list of upstreams contradicts it or could not be read in time.
    SoleUnconfirmed,
    /// The store's record names no other version at which a stream of the service may have begun.
    SoleRecorded,
    /// Nobody was told of it, and the service has had several versions.
    Several,
    /// Nobody was told of it, no gateway has watched the service for long enough, and the store's record
    /// does not tell.
    Unknown,
}

impl Basis {
    /// Returns the name used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::RecordedHere => "recorded_here",
            Self::RecordedElsewhere => "recorded_elsewhere",
            Self::Sole => "sole",
            Self::SoleUnconfirmed => "sole_unconfirmed",
            Self::SoleRecorded => "sole_recorded",
            Self::Several => "several",
            Self::Unknown => "unknown",
        }
    }
}

/// The version at which a stream began.
#[derive(Debug)]
struct StreamOrigin {
    /// The version; `None` if it is unknown.
    version: Option<UpstreamVersion>,
    basis: Basis,
    /// Number of other gateways that were asked.
    asked: usize,
    /// Number of them that answered in time.
    answers: usize,
}

/// Answers of other gateways to a question.
#[derive(Debug)]
struct Answers {
    /// The most certain one.
    known: KnownVersion,
    /// Number of gateways that answered in time.
    count: usize,
}

/// Removes a question when it is dropped.
struct QuestionGuard<'a> {
    questions: &'a StreamVersionQuestions,
    number: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.questions.pending.borrow_mut().remove(&self.number);
    }
}

impl StreamVersionQuestions {
    /// Sets the heartbeat socket, which also carries these messages.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("the socket for the versions of streams is already set");
        }
    }

    /// Sends a message to other gateways.
    pub fn send(&self, message: &StreamVersionMessage, to: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = match message.encode() {
            Ok(datagram) => datagram,
            Err(e) => return log::error!("the version of a stream cannot be encoded: {e}"),
        };
        for address in to {
            if let Err(e) = socket.try_send_to(&datagram, *address) {
                log::debug!("the version of a stream was not sent to {address}: {e}");
            }
        }
    }

    /// Asks gateways at which version a stream began. `own` is one of the answers to choose from.
    async fn ask(
        &self,
        stream: RequestDigest,
        service: &ServiceName,
        keepers: &[SocketAddr],
        own: KnownVersion,
    ) -> Answers {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (tx, mut rx) = unbounded_channel();
        self.pending.borrow_mut().insert(number, tx);
        let _guard = QuestionGuard { questions: self, number };
        let question = StreamVersionMessage::Ask { number, stream, service: service.clone() };
        self.send(&question, keepers);
        let mut answers = vec![own];
        let collecting = async {
            for _ in keepers {
                let Some(known) = rx.recv().await else {
                    return;
                };
                let is_recorded = matches!(known, KnownVersion::Recorded(_));
                answers.push(known);
                if is_recorded {
                    return;
                }
            }
        };
        // Without all answers, those that came count.
        drop(timeout(ANSWER_TIMEOUT, collecting).await);
        let count = answers.len() - 1;
        Answers { known: KnownVersion::most_certain(answers), count }
    }
}

impl Gateway {
    /// Notes that a stream began, here and at the gateways that callers' next gateways will ask.
    pub(super) fn note_stream_began(&self, begun: BegunStream) {
        let (stream, version, now) = (begun.stream, begun.version.clone(), begun.at);
        let mut board = self.board.borrow_mut();
        board.stream_versions.note(stream, version.clone(), now);
        board.stream_journal.note(begun);
        let keepers = board.version_keepers(stream, &self.settings.borrow(), KEEPERS, now);
        drop(board);
        let message = StreamVersionMessage::Began { stream, version };
        self.stream_version_questions.send(&message, &keepers);
    }

    /// Finds out at which version a stream of a service began, from what this gateway and others know.
    async fn find_stream_origin(
        self: &Rc<Self>,
        stream: RequestDigest,
        service: &ServiceName,
    ) -> StreamOrigin {
        let now = clock::now();
        let own = self.board.borrow().known_version(stream, service, now);
        if let KnownVersion::Recorded(version) = own {
            let basis = Basis::RecordedHere;
            return StreamOrigin { version: Some(version), basis, asked: 0, answers: 0 };
        }
        let keepers = {
            let (board, settings) = (self.board.borrow(), self.settings.borrow());
            board.version_keepers(stream, &settings, KEEPERS_TO_ASK, now)
        };
        let answers = self.stream_version_questions.ask(stream, service, &keepers, own).await;
        let (version, basis) = match answers.known {
            KnownVersion::Recorded(version) => (Some(version), Basis::RecordedElsewhere),
            KnownVersion::Sole(version) => {
                let confirmed = self.confirm_sole(stream, service, version).await;
                let basis = if confirmed.is_some() { Basis::Sole } else { Basis::SoleUnconfirmed };
                (confirmed, basis)
            }
            KnownVersion::Several => (None, Basis::Several),
            KnownVersion::Unknown => match self.sole_recorded(service).await {
                KnownVersion::Sole(version) => (Some(version), Basis::SoleRecorded),
                KnownVersion::Several => (None, Basis::Several),
                KnownVersion::Recorded(_) | KnownVersion::Unknown => (None, Basis::Unknown),
            },
        };
        StreamOrigin { version, basis, asked: keepers.len(), answers: answers.count }
    }

    /// Returns the version of a stream if the list of upstreams, as of now, does not contradict that
    /// `sole` is the only one. This gateway or the one that named it may have missed another one: it was
    /// cut off, or stood still.
    async fn confirm_sole(
        self: &Rc<Self>,
        stream: RequestDigest,
        service: &ServiceName,
        sole: UpstreamVersion,
    ) -> Option<UpstreamVersion> {
        let asked = self.board.borrow().store_clock.now(clock::now())?;
        timeout(LIST_TIMEOUT, self.read_upstreams_as_of(asked)).await.ok()?;
        match self.board.borrow().known_version(stream, service, clock::now()) {
            KnownVersion::Recorded(version) => Some(version),
            KnownVersion::Sole(version) => (version == sole).then_some(sole),
            // The history here may be too short.
            KnownVersion::Unknown => Some(sole),
            KnownVersion::Several => None,
        }
    }

    /// Returns what the store's record, as of now, says of the versions at which streams of a service may
    /// have begun.
    async fn sole_recorded(self: &Rc<Self>, service: &ServiceName) -> KnownVersion {
        let asked = clock::now();
        let gateways = 1 + self.board.borrow().recently_heard(asked).count();
        let interval = LIST_READ_INTERVAL.max(RECORD_READ_SPACING * gateways as u32);
        let reading = self.read_record_as_of(asked, interval);
        // Without the record as of now, nothing is known.
        drop(timeout(RECORD_TIMEOUT + interval, reading).await);
        self.board.borrow().recorded_version(service, asked, clock::now())
    }

    /// Waits until the record is known as of a time, and reads it if necessary.
    async fn read_record_as_of(self: &Rc<Self>, at: Instant, interval: Duration) {
        let mut last_read = self.stream_version_questions.record_read.lock().await;
        let is_known = || self.board.borrow().recorded_versions.known_as_of() >= Some(at);
        // A read that began while this one waited for its turn serves both.
        while !is_known() {
            if let Some(last) = *last_read {
                clock::sleep_until(last + interval).await;
            }
            *last_read = Some(clock::now());
            let gateway = self.clone();
            // Goes on if this question is given up, so that the next one finds its result.
            let read = spawn_local(async move { read_version_record(&gateway).await });
            if !matches!(read.await, Ok(Ok(()))) {
                return;
            }
        }
    }

    /// Waits while upstreams of a service are listed, but none at which a stream may begin.
    async fn await_recorded_version(&self, service: &str, deadline: Instant) {
        let deadline = deadline.min(clock::now() + RECORDING_TIMEOUT);
        while self.board.borrow().awaits_version_record(service) && clock::now() < deadline {
            sleep(RECORDING_POLL_INTERVAL).await;
        }
    }

    /// Waits until the list of upstreams is known as of a time of the store, and reads it if necessary.
    async fn read_upstreams_as_of(self: &Rc<Self>, at: StoreMillis) {
        if self.board.borrow().lists_upstreams_as_of(at) {
            return;
        }
        let mut last_read = self.stream_version_questions.list_read.lock().await;
        // A read that began while this one waited for its turn serves both.
        if self.board.borrow().lists_upstreams_as_of(at) {
            return;
        }
        if let Some(last) = *last_read {
            clock::sleep_until(last + LIST_READ_INTERVAL).await;
        }
        *last_read = Some(clock::now());
        // Goes on if this question is given up, so that the next one finds its result.
        drop(spawn_local(read_once(self.clone(), WatchedData::Upstreams)));
        while !self.board.borrow().lists_upstreams_as_of(at) {
            sleep(APPLY_POLL_INTERVAL).await;
        }
    }

    /// Handles what another gateway says or asks about the version of a stream.
    pub fn handle_stream_version(&self, message: StreamVersionMessage, from: SocketAddr) {
        let now = clock::now();
        match message {
            StreamVersionMessage::Began { stream, version } => {
                self.board.borrow_mut().stream_versions.note(stream, version, now);
            }
            StreamVersionMessage::Ask { number, stream, service } => {
                let known = self.board.borrow().known_version(stream, &service, now);
                let answer = StreamVersionMessage::Answer { number, known };
                self.stream_version_questions.send(&answer, &[from]);
            }
            StreamVersionMessage::BeganEarlier { streams, version } => {
                let mut board = self.board.borrow_mut();
                for stream in streams {
                    board.stream_versions.note_earlier(stream, version.clone(), now);
                }
            }
            StreamVersionMessage::Recorded { versions } => {
                self.board.borrow_mut().recorded_versions.note_recorded(versions);
            }
            StreamVersionMessage::Answer { number, known } => {
                // A late answer has no receiver any more.
                if let Some(tx) = self.stream_version_questions.pending.borrow().get(&number)
                    && tx.send(known).is_err()
                {
                    log::debug!("the version of a stream came too late from {from}");
                }
            }
        }
    }
}

impl Forwarding {
    /// Finds out at which version the stream began that the caller takes up, if it takes up one. A new
    /// stream waits until it may begin.
    pub(super) async fn pin_version(&mut self) -> Result<(), Refusal> {
        if !self.pins_versions() {
            return Ok(());
        }
        let Some(resumed) = &self.outgoing.head.resumed else {
            let (service, deadline) = (&self.admitted.service, self.deadline);
            self.gateway.await_recorded_version(service, deadline).await;
            return Ok(());
        };
        let stream = self.stream_digest(&resumed.began_as);
        let origin = self.gateway.find_stream_origin(stream, &self.admitted.service).await;
        self.note_take_up(&resumed.began_as, &origin);
        self.stream_version = Some(origin.version.ok_or(Refusal::StreamVersionUnknown)?);
        Ok(())
    }

    /// Logs and counts what is known of a stream that the caller takes up.
    fn note_take_up(&self, began_as: &str, origin: &StreamOrigin) {
        count(&self.gateway.metrics.take_ups, origin.basis.name());
        self.gateway.log(&Event::StreamTakenUp {
            request: &self.outgoing.head.id,
            began_as,
            service: &self.admitted.service,
            version: origin.version.as_deref(),
            basis: origin.basis.name(),
            asked: origin.asked,
            answers: origin.answers,
            up_ms: clock::now().saturating_duration_since(self.gateway.started).as_millis() as u64,
        });
    }

    /// Notes that the first event of the caller's stream comes from this upstream. The stream goes
    /// on only at upstreams of the same version.
    pub(super) fn note_stream_began(&mut self, selected: &Selected) {
        if self.pins_versions() {
            let begun = BegunStream {
                stream: self.stream_digest(&self.outgoing.head.id),
                service: self.admitted.service.clone(),
                version: selected.version.clone(),
                at: clock::now(),
            };
            self.gateway.note_stream_began(begun);
            self.stream_version = Some(selected.version.clone());
        }
    }

    /// Returns whether the request goes on only at the version at which it begins.
    pub(super) fn pins_versions(&self) -> bool {
        let off = &self.gateway.settings.borrow().off;
        self.admitted.route.resumable && off.is_enabled(Mechanism::StreamVersions)
    }

    /// Returns the digest of a stream by the attempt that began it. Those of other customers and
    /// services differ, so that nobody takes up a stream of theirs.
    fn stream_digest(&self, began_as: &str) -> RequestDigest {
        let customer = self.admitted.customer.as_deref().unwrap_or_default();
        let texts = [customer, &self.admitted.service, began_as].map(str::as_bytes);
        RequestDigest::of(&texts)
    }
}
