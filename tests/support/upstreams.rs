//! Description of an upstream, for tests of the board.

use tackhollow::gateway::model::{Upstream, UpstreamPhase};

/// Returns the description of the upstream `i-1` of the service `app`, in the lifetime that began
/// at `born`.
pub fn upstream(phase: UpstreamPhase, born: u64) -> Upstream {
    Upstream {
        id: "i-1".to_owned(),
        born: Some(born),
        service: "app".to_owned(),
        version: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        slots: 6,
        phase,
        reclaimable: false,
        leaves_in: None,
    }
}
