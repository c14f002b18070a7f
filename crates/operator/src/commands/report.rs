//! Output of operator commands.

use std::io::{self, Write};

use serde_json::Value;

/// Writes the results of a command, as text, tables or JSON.
pub(super) struct Report<'a> {
    out: &'a mut dyn Write,
}

impl<'a> Report<'a> {
    pub fn new(out: &'a mut dyn Write) -> Report<'a> {
        Report { out }
    }

    pub fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.out, "{}", replace_control_chars(text))?;
        self.out.flush()
    }

    pub fn json(&mut self, value: &Value) -> io::Result<()> {
        writeln!(self.out, "{value}")?;
        self.out.flush()
    }

    /// Writes a header and rows in aligned columns. Empty cells are written as `-`.
    pub fn table<const N: usize>(
        &mut self,
        header: [&str; N],
        rows: Vec<[String; N]>,
    ) -> io::Result<()> {
        let header = header.map(str::to_owned);
        let rows: Vec<[String; N]> =
            [header].into_iter().chain(rows).map(|row| row.map(cell_text)).collect();
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

fn cell_text(cell: String) -> String {
    if cell.is_empty() { "-".into() } else { replace_control_chars(&cell) }
}

/// Replaces control characters, which could manipulate the terminal.
fn replace_control_chars(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}
