//! Bodies with a length, in chunks, or up to the end of the connection.

use super::Fault;

/// Longest line of a chunk's size or of a trailer.
const MAX_LINE_BYTES: usize = 4096;

/// Reader of one body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// So many bytes are still to come.
    Length(u64),
    /// In chunks.
    Chunked(ChunkState),
    /// All bytes up to the end of the connection.
    UntilClose,
}

/// What comes next in a body in chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkState {
    /// The size of a chunk.
    Size,
    /// So many bytes of a chunk.
    Data(u64),
    /// The line end behind a chunk.
    DataEnd,
    /// A trailer, or the empty line that ends the body.
    Trailer,
}

impl Body {
    /// Starts a body in chunks.
    pub fn chunked() -> Body {
        Body::Chunked(ChunkState::Size)
    }

    /// Takes bytes from the beginning of `input` and adds the body's content
    /// to `out`. Returns how many bytes it took and whether the body is whole.
    ///
    /// # Errors
    ///
    /// A malformed chunk; the connection can't be used any more.
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
                        ChunkState::Trailer
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
            ChunkState::Trailer => {
                let end = input.windows(2).position(|pair| pair == b"\r\n");
                match end {
                    Some(0) => Ok((2, true)),
                    Some(at) => Ok((at + 2, false)),
                    None if input.len() < MAX_LINE_BYTES => Ok((0, false)),
                    None => Err(Fault::Chunk),
                }
            }
        }
    }
}

fn take(left: &mut u64, input: &[u8], out: &mut Vec<u8>) -> usize {
    let max_bytes = usize::try_from(*left).unwrap_or(usize::MAX);
    let taken = max_bytes.min(input.len());
    out.extend_from_slice(&input[..taken]);
    *left -= taken as u64;
    taken
}
