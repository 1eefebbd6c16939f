//! Logs on standard error, with level, time and thread.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging. A second start in the same process changes nothing.
pub fn init_logs(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("tackhollow")
        .build();
    drop(TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never));
}
