//! Log lines of key=value pairs only.

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, SharedLogger, WriteLogger, format_description};

use crate::output::Output;

/// A logger that writes the level as a pair, like everything else.
struct Pairs(Box<WriteLogger<Output>>);

impl Log for Pairs {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let level = record.level().as_str().to_ascii_lowercase();
        let mut pairs = Record::builder();
        pairs.metadata(record.metadata().clone());
        self.0.log(
            &pairs
                .args(format_args!("level={level} {}", record.args()))
                .build(),
        );
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Targets whose lines are no pairs; what they tell is logged by their users as well.
const FOREIGN_TARGET: &str = "trillium";

/// Writes events of a level and above: those of a server to the standard output, those of a
/// command, whose answer goes there, to the standard error.
pub(crate) fn init(level: LevelFilter, server: bool) -> eyre::Result<()> {
    let time = format_description!(
        "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
    );
    let config = ConfigBuilder::new()
        .set_time_format_custom(time)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str(FOREIGN_TARGET)
        .build();
    let output = if server {
        Output::start(std::io::stdout())?
    } else {
        Output::start(std::io::stderr())?
    };
    let logger = WriteLogger::new(level, config, output);
    log::set_max_level(logger.level());
    log::set_boxed_logger(Box::new(Pairs(logger)))?;
    Ok(())
}
