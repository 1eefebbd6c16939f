//! Records of requests: what was asked, the answer so far, the outcome.

mod outcome;
mod records;
mod request_record;
mod token_text;
mod work;

pub use outcome::{CallAnswer, Outcome};
pub use records::{Begin, Records, RecordsError};
pub use request_record::{Record, RecordSnapshot, Tail};
pub use token_text::TokenText;
pub use work::{CallWork, ChatWork, Message, Work};
