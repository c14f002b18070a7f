//! Finds the end of a chunked body.

use std::io;

/// Follows the chunks of a body. It takes only what RFC 9112 allows, without white space around
/// sizes, so that no two programs disagree on the end of the body.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    place: Place,
    /// Size of the chunk, as far as it was read, in bytes.
    size: u64,
}

/// What the next byte belongs to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Place {
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
    LastLf,
}

impl ChunkScanner {
    /// Reads on. Returns the number of bytes that belong to the body and whether it ends there.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
        let mut index = 0;
        while let Some(&byte) = bytes.get(index) {
            if self.place == Place::Data {
                let left = usize::try_from(self.size).unwrap_or(usize::MAX);
                let count = left.min(bytes.len() - index);
                self.size -= count as u64;
                index += count;
                if self.size == 0 {
                    self.place = Place::DataCr;
                }
                continue;
            }
            index += 1;
            if self.place == Place::LastLf && byte == b'\n' {
                return Ok((index, true));
            }
            self.place = self.next(byte).ok_or(io::ErrorKind::InvalidData)?;
        }
        Ok((index, false))
    }

    fn next(&mut self, byte: u8) -> Option<Place> {
        Some(match (self.place, byte) {
            (Place::SizeStart | Place::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                let digit = char::from(byte).to_digit(16)?;
                self.size = self.size.checked_mul(16)?.checked_add(u64::from(digit))?;
                Place::Size
            }
            (Place::Size, b';') => Place::Extension,
            (Place::Size | Place::Extension, b'\r') => Place::SizeEnd,
            (Place::Extension, other) if other != b'\n' => Place::Extension,
            (Place::SizeEnd, b'\n') if self.size == 0 => Place::TrailerStart,
            (Place::SizeEnd, b'\n') => Place::Data,
            (Place::DataCr, b'\r') => Place::DataLf,
            (Place::DataLf, b'\n') => Place::SizeStart,
            (Place::TrailerStart, b'\r') => Place::LastLf,
            (Place::Trailer, b'\r') => Place::TrailerEnd,
            (Place::TrailerStart | Place::Trailer, other) if other != b'\n' => Place::Trailer,
            (Place::TrailerEnd, b'\n') => Place::TrailerStart,
            _ => return None,
        })
    }
}
