//! What the threads of an entry process share.

use std::{sync::Arc, time::Instant};

use crate::{
    cloud::PlatformClient,
    edge::peer_link::PeerClient,
    ids::Home,
    record::{Outcome, Record, Records},
    settings::EntrySettings,
    telemetry::{Metrics, OutcomeLabels},
    wire::Contact,
};

use super::{
    event::{BoardHandle, Event},
    held::HeldSlots,
    jobs::Desk,
};

/// What the threads of an entry process share.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: EntrySettings,
    /// This process's addresses.
    pub contact: Contact,
    /// The blackboard.
    pub board: BoardHandle,
    /// Other processes.
    pub peer: PeerClient,
    /// The platform.
    pub platform: PlatformClient,
    /// Records.
    pub records: Records,
    /// Slots held.
    pub held: Arc<HeldSlots>,
    /// Jobs.
    pub jobs: Desk,
    /// Metrics.
    pub metrics: Metrics,
}

impl Context {
    /// Returns this process's home.
    pub fn home(&self) -> &Home {
        &self.contact.home
    }

    /// Ends a request: records the outcome, counts and logs it.
    pub fn finish(&self, record: &Record, outcome: Outcome) {
        let word = outcome.word();
        if !record.finish(outcome) {
            return;
        }
        let labels = OutcomeLabels {
            customer: record.customer.clone(),
            class: format!("{:?}", record.work.class()).to_lowercase(),
            outcome: word.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let dc = &self.settings.data_centre;
        log::info!("request={} dc={dc} customer={} outcome={word}", record.id, record.customer);
    }

    /// Returns whether the time of a request is over.
    pub fn is_over(record: &Record) -> bool {
        Instant::now() >= record.deadline
    }
}

/// An admitted request; dropping it makes room for another.
#[derive(Debug)]
pub struct Permit {
    board: BoardHandle,
    customer: String,
    record: Arc<Record>,
}

impl Permit {
    /// Creates the permit of an admitted request.
    pub fn new(board: BoardHandle, record: Arc<Record>) -> Self {
        Self { board, customer: record.customer.clone(), record }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let completed = matches!(
            self.record.outcome(),
            Some(Outcome::ChatCompleted { .. } | Outcome::CallCompleted(_))
        );
        let customer = std::mem::take(&mut self.customer);
        self.board.send(Event::Ended { customer, completed });
    }
}
