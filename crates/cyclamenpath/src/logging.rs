//! Logging in lines that consist of key=value pairs only.

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, SharedLogger, WriteLogger, format_description};

use crate::output::Output;

/// A logger that writes the level as a key=value pair, like the rest of the line.
struct Logger(Box<WriteLogger<Output>>);

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let level = record.level().as_str().to_ascii_lowercase();
        let mut with_level = Record::builder();
        with_level.metadata(record.metadata().clone());
        self.0.log(
            &with_level
                .args(format_args!("level={level} {}", record.args()))
                .build(),
        );
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Log target of the HTTP library, which does not log key=value pairs; the code that uses it logs
/// the same events.
const IGNORED_TARGET: &str = "trillium";

/// Installs the process logger for events of `level` or higher severity.
///
/// A server logs to standard output; any other command logs to standard error, because it prints
/// its result to standard output.
pub(crate) fn init(level: LevelFilter, is_server: bool) -> eyre::Result<()> {
    let time = format_description!(
        "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
    );
    let config = ConfigBuilder::new()
        .set_time_format_custom(time)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str(IGNORED_TARGET)
        .build();
    let output = if is_server {
        Output::start(std::io::stdout())?
    } else {
        Output::start(std::io::stderr())?
    };
    let logger = WriteLogger::new(level, config, output);
    log::set_max_level(logger.level());
    log::set_boxed_logger(Box::new(Logger(logger)))?;
    Ok(())
}
