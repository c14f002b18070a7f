//! Parses the chunked transfer coding to find the end of a body.

use std::io;

/// Scans the chunks of a body. It accepts only the syntax of RFC 9112, without optional white space
/// around sizes, so that no other HTTP implementation finds a different end of the body.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    position: Position,
    /// Size of the current chunk as parsed so far; within its data, the number of bytes left.
    chunk_bytes: u64,
}

/// The syntax element that the next byte belongs to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Position {
    #[default]
    SizeStart,
    Size,
    Extension,
    SizeEnd,
    Data,
    DataCr,
    DataLf,
    TrailerStart,
    Trailer,
    TrailerEnd,
    FinalLf,
}

impl ChunkScanner {
    /// Scans the next bytes. Returns how many of them belong to the body, and whether the body ends
    /// there.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
        let mut index = 0;
        while let Some(&byte) = bytes.get(index) {
            if self.position == Position::Data {
                let left = usize::try_from(self.chunk_bytes).unwrap_or(usize::MAX);
                let count = left.min(bytes.len() - index);
                self.chunk_bytes -= count as u64;
                index += count;
                if self.chunk_bytes == 0 {
                    self.position = Position::DataCr;
                }
                continue;
            }
            index += 1;
            if self.position == Position::FinalLf && byte == b'\n' {
                return Ok((index, true));
            }
            self.position = self.next_position(byte).ok_or(io::ErrorKind::InvalidData)?;
        }
        Ok((index, false))
    }

    fn next_position(&mut self, byte: u8) -> Option<Position> {
        Some(match (self.position, byte) {
            (Position::SizeStart | Position::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                let digit = char::from(byte).to_digit(16)?;
                self.chunk_bytes =
                    self.chunk_bytes.checked_mul(16)?.checked_add(u64::from(digit))?;
                Position::Size
            }
            (Position::Size, b';') => Position::Extension,
            (Position::Size | Position::Extension, b'\r') => Position::SizeEnd,
            (Position::Extension, other) if other != b'\n' => Position::Extension,
            (Position::SizeEnd, b'\n') if self.chunk_bytes == 0 => Position::TrailerStart,
            (Position::SizeEnd, b'\n') => Position::Data,
            (Position::DataCr, b'\r') => Position::DataLf,
            (Position::DataLf, b'\n') => Position::SizeStart,
            (Position::TrailerStart, b'\r') => Position::FinalLf,
            (Position::Trailer, b'\r') => Position::TrailerEnd,
            (Position::TrailerStart | Position::Trailer, other) if other != b'\n' => {
                Position::Trailer
            }
            (Position::TrailerEnd, b'\n') => Position::TrailerStart,
            _ => return None,
        })
    }
}
