//! Keeps the newest configuration in force. Versions only increase: an older document from the
//! store or from another gateway is ignored.

use std::rc::Rc;

use bytes::Bytes;
use stakker::CX;

use super::Source;
use crate::{
    gateway::{context::Gateway, decide::SyncPoint, telemetry::Event},
    platform::decode_configuration,
};

/// Controller of the configuration.
#[derive(Debug)]
pub struct ConfigurationController {
    gateway: Rc<Gateway>,
}

impl ConfigurationController {
    /// Creates the controller; no configuration is in force yet.
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        Some(Self { gateway })
    }

    /// Records the store position up to which the configuration is known. Sent after all documents
    /// up to that position.
    pub fn advance_knowledge(&mut self, _: CX![], knowledge: SyncPoint) {
        let mut board = self.gateway.board.borrow_mut();
        board.configuration_knowledge.get_or_insert(knowledge).advance(knowledge);
    }

    /// Puts a document in force if its version is newer than the current one.
    pub fn apply(&mut self, _: CX![], document: Bytes, source: Source) {
        let configuration = match decode_configuration(&document) {
            Ok(configuration) => configuration,
            Err(e) => {
                log::error!("rejected invalid configuration from the {}: {e}", source.name());
                return;
            }
        };
        let before = self.gateway.board.borrow().configuration_version();
        let version = configuration.version;
        if version <= before {
            return;
        }
        let mut board = self.gateway.board.borrow_mut();
        board.configuration = Some(Rc::new(configuration));
        board.document = document;
        drop(board);
        self.gateway.metrics.configuration.set(version as i64);
        let source = source.name();
        self.gateway.log(&Event::Configuration { version, before, source });
    }
}
