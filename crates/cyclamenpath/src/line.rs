//! Log lines of key=value pairs only.

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, SharedLogger, WriteLogger, format_description};

/// A logger that writes the level as a pair, like everything else.
struct Pairs(Box<WriteLogger<std::io::Stderr>>);

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

/// Writes events of a level and above to the standard error.
pub(crate) fn start(level: LevelFilter) -> eyre::Result<()> {
    let time = format_description!(
        "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
    );
    let config = ConfigBuilder::new()
        .set_time_format_custom(time)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let logger = WriteLogger::new(level, config, std::io::stderr());
    log::set_max_level(logger.level());
    log::set_boxed_logger(Box::new(Pairs(logger)))?;
    Ok(())
}
