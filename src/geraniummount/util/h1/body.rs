//! Incremental decoder of HTTP/1 message bodies: by length, chunked, or up to the end of the connection.

use super::Fault;

/// Maximum length of a chunk size line or of a trailer line.
const MAX_LINE_BYTES: usize = 4096;

/// Maximum length of the trailer lines of a body together.
const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// Decoder of one body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// Delimited by length, with this number of bytes remaining.
    Length(u64),
    /// Chunked transfer coding.
    Chunked(ChunkState),
    /// Delimited by the end of the connection.
    UntilClose,
}

/// State of the decoder of a chunked body: the element that it expects next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkState {
    /// The size line of a chunk.
    Size,
    /// The data of a chunk, with this number of bytes remaining.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// A trailer line, with this number of bytes remaining for all of them, or the empty line that
    /// ends the body.
    Trailer(usize),
}

impl Body {
    /// Creates the decoder of a chunked body.
    pub fn chunked() -> Body {
        Body::Chunked(ChunkState::Size)
    }

    /// Consumes bytes from the start of `input` and appends the decoded content to `out`. Returns
    /// the number of bytes consumed and whether the body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is malformed. The connection cannot be used any further then,
    /// because the end of the body is unknown.
    pub fn feed(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), Fault> {
        let mut taken = 0;
        loop {
            let (step, done) = self.step(&input[taken..], out)?;
            taken += step;
            if done || step == 0 {
                return Ok((taken, done));
            }
        }
    }

    /// Decodes one element of the body; otherwise like [`Body::feed`].
    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), Fault> {
        match self {
            Body::Length(left) => {
                let taken = take(left, input, out);
                Ok((taken, *left == 0))
            }
            Body::UntilClose => {
                out.extend_from_slice(input);
                Ok((input.len(), false))
            }
            Body::Chunked(chunk) => chunk.step(input, out),
        }
    }
}

impl ChunkState {
    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), Fault> {
        match self {
            ChunkState::Size => match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((taken, size))) => {
                    *self = if size == 0 {
                        ChunkState::Trailer(MAX_TRAILER_BYTES)
                    } else {
                        ChunkState::Data(size)
                    };
                    Ok((taken, false))
                }
                Ok(httparse::Status::Partial) if input.len() < MAX_LINE_BYTES => Ok((0, false)),
                _ => Err(Fault::Chunk),
            },
            ChunkState::Data(left) => {
                let taken = take(left, input, out);
                if *left == 0 {
                    *self = ChunkState::DataEnd;
                }
                Ok((taken, false))
            }
            ChunkState::DataEnd => match input {
                [b'\r', b'\n', ..] => {
                    *self = ChunkState::Size;
                    Ok((2, false))
                }
                [] | [b'\r'] => Ok((0, false)),
                _ => Err(Fault::Chunk),
            },
            ChunkState::Trailer(left) => {
                let end = input.windows(2).position(|pair| pair == b"\r\n");
                match end {
                    Some(0) => Ok((2, true)),
                    Some(at) => {
                        *left = left.checked_sub(at + 2).ok_or(Fault::Chunk)?;
                        Ok((at + 2, false))
                    }
                    None if input.len() < MAX_LINE_BYTES => Ok((0, false)),
                    None => Err(Fault::Chunk),
                }
            }
        }
    }
}

/// Appends up to `left` bytes of `input` to `out`, subtracts their number from `left` and returns
/// it.
fn take(left: &mut u64, input: &[u8], out: &mut Vec<u8>) -> usize {
    let max_bytes = usize::try_from(*left).unwrap_or(usize::MAX);
    let taken = max_bytes.min(input.len());
    out.extend_from_slice(&input[..taken]);
    *left -= taken as u64;
    taken
}
