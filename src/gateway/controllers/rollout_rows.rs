//! Rows in which the state of roll-outs is kept: the status for the operator, and when an order was
//! first seen.

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        decide::{RolloutEnd, RolloutOrder, StoreMillis},
        model::{Revision, ServiceName, era_of},
    },
    platform::{RolloutState, StoreRow, decode_rollout_status, rollout_service},
};

/// What has to survive a restart of the gateways: when an order was first seen. Written as JSON.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StoredStart {
    /// Revision of the order.
    pub(super) revision: Revision,
    /// When the order was first seen, by the store's clock.
    pub(super) started: StoreMillis,
}

/// The status row of a roll-out, which the operator reads.
#[derive(Clone, Debug)]
pub(super) struct StatusRow {
    /// Revision at which it was written.
    pub(super) revision: Revision,
    /// State of the roll-out.
    pub(super) state: RolloutState,
    /// Version that the traffic moves to.
    pub(super) destination: String,
}

impl StatusRow {
    /// Returns how the roll-out of an order ended, if the row was written after the order and says
    /// so. Revisions of a later era than the order's do not show which of the two was written first.
    pub(super) fn end_of(&self, order: &RolloutOrder) -> Option<RolloutEnd> {
        let is_comparable = era_of(self.revision) <= era_of(order.revision);
        let is_later = self.revision > order.revision && is_comparable;
        let is_of_order = is_later && self.destination == order.destination;
        match self.state {
            RolloutState::Completed if is_of_order => Some(RolloutEnd::Completed),
            RolloutState::RolledBack if is_of_order => Some(RolloutEnd::RolledBack),
            RolloutState::Running | RolloutState::Completed | RolloutState::RolledBack => None,
        }
    }
}

/// Decodes a status row, with the service that it is about; `None` if it is another row or cannot be
/// decoded.
pub(super) fn status_row(row: &StoreRow) -> Option<(ServiceName, StatusRow)> {
    let service = rollout_service(&row.key)?.to_owned();
    match decode_rollout_status(&row.value) {
        Ok((state, destination)) => {
            Some((service, StatusRow { revision: row.revision, state, destination }))
        }
        Err(e) => {
            log::error!("status row of the roll-out of service {service:?} cannot be decoded: {e}");
            None
        }
    }
}

/// Decodes the start of an order, with the service that it is about; `None` if it is another row or
/// cannot be decoded.
pub(super) fn stored_start(row: &StoreRow) -> Option<(ServiceName, StoredStart)> {
    let service = rollout_service(&row.key)?.to_owned();
    match serde_json::from_slice(&row.value) {
        Ok(start) => Some((service, start)),
        Err(e) => {
            log::error!(
                "stored start of the roll-out of service {service:?} cannot be decoded: {e}"
            );
            None
        }
    }
}
