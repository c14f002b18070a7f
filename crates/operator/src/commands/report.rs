//! Output of commands.

use std::io::{self, Write};

use serde_json::Value;

/// Writes results for people and programs.
pub(super) struct Report<'a> {
    out: &'a mut dyn Write,
}

impl<'a> Report<'a> {
    pub fn new(out: &'a mut dyn Write) -> Report<'a> {
        Report { out }
    }

    pub fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.out, "{}", printable(text))?;
        self.out.flush()
    }

    pub fn json(&mut self, value: &Value) -> io::Result<()> {
        writeln!(self.out, "{value}")?;
        self.out.flush()
    }

    /// Writes rows in aligned columns.
    pub fn table<const N: usize>(
        &mut self,
        head: [&str; N],
        rows: Vec<[String; N]>,
    ) -> io::Result<()> {
        let head = head.map(str::to_owned);
        let rows: Vec<[String; N]> = [head]
            .into_iter()
            .chain(rows)
            .map(|row| row.map(|cell| if cell.is_empty() { "-".into() } else { printable(&cell) }))
            .collect();
        let width = |column: usize| {
            rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..N).map(width).collect();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            writeln!(self.out, "{}", cells.join("  ").trim_end())?;
        }
        self.out.flush()
    }
}

/// Replaces control characters, which could change the terminal.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}
