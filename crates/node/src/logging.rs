//! Logs as JSON lines on standard output.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Target of the lines that record a routing or placement decision. Their message is a JSON object.
pub(crate) const DECISIONS: &str = "decision";

/// Starts logging. Fails if a logger is set already.
pub(crate) fn start(level: LevelFilter, node: &str) -> Result<(), log::SetLoggerError> {
    let node: Box<str> = node.into();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let text = message.to_string();
            let fields = match record.target() {
                DECISIONS => serde_json::from_str(&text).unwrap_or(serde_json::Value::Null),
                _ => serde_json::json!({ "message": text }),
            };
            let line = serde_json::json!({
                "time": since_epoch.as_secs_f64(),
                "level": record.level().as_str(),
                "node": &*node,
                "target": record.target(),
                "event": fields,
            });
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stdout())
        .apply()
}
