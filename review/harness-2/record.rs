//! The record of a case: one line for each thing that was sent, answered, run or done.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Shared>);

struct Shared {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record(Arc::new(Shared { start: Instant::now(), file })))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.now(), text.as_ref());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
