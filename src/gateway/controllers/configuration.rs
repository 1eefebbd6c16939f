//! Keeps the newest configuration in force; it never goes back to an older one.

use std::rc::Rc;

use bytes::Bytes;
use stakker::CX;

use super::Source;
use crate::{
    gateway::{context::Gateway, decide::Knowledge, telemetry::Event},
    platform::decode_configuration,
};

/// Controller of the configuration.
#[derive(Debug)]
pub struct ConfigurationController {
    gateway: Rc<Gateway>,
}

impl ConfigurationController {
    /// Starts the controller.
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        Some(Self { gateway })
    }

    /// Notes up to where the configuration is known, once all documents up to there have
    /// been taken over.
    pub fn known(&mut self, _: CX![], knowledge: Knowledge) {
        let mut board = self.gateway.board.borrow_mut();
        board.configuration_knowledge.get_or_insert(knowledge).advance(knowledge);
    }

    /// Takes over a document if it is newer than what is in force.
    pub fn take(&mut self, _: CX![], document: Bytes, source: Source) {
        let configuration = match decode_configuration(&document) {
            Ok(configuration) => configuration,
            Err(e) => {
                log::error!("the configuration from the {} is unusable: {e}", source.name());
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
