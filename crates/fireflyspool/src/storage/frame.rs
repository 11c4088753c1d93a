//! Encoding of frames with length and checksums.

const MAGIC: [u8; 4] = *b"FSR1";
const HEADER_BYTES: usize = 16;

/// Largest payload; a length beyond it would not fit the header.
pub(super) const MAX_PAYLOAD_BYTES: usize = u32::MAX as usize;

/// Offset of a damaged frame, and what is wrong with it.
pub(super) type Damage = (u64, String);

/// Frames of a file.
#[derive(Debug)]
pub(super) struct Frames<'a> {
    /// Offset and payload of each complete frame.
    pub(super) payloads: Vec<(u64, &'a [u8])>,
    /// Length of the complete frames in bytes; an incomplete frame may follow.
    pub(super) length: u64,
}

/// Appends a frame to a buffer.
pub(super) fn encode(payload: &[u8], buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&MAGIC);
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&buffer[start..]);
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Splits a file into frames.
///
/// An append that was interrupted leaves a prefix of its frame, possibly
/// extended by zeros up to its full length. Everything else is damage.
pub(super) fn decode(bytes: &[u8]) -> Result<Frames<'_>, Damage> {
    let mut payloads = Vec::new();
    let mut position = 0;
    while let Some((header, rest)) = bytes[position..].split_first_chunk::<HEADER_BYTES>() {
        let damage = |reason: &str| (position as u64, reason.to_owned());
        let Some((length, checksum)) = read_header(header) else {
            // Only a torn header is followed by nothing but zeros.
            if header.ends_with(&[0]) && rest.iter().all(|byte| *byte == 0) {
                break;
            }
            return Err(damage("invalid frame header"));
        };
        let Some(payload) = rest.get(..length) else {
            break;
        };
        if crc32fast::hash(payload) != checksum {
            // Payloads are JSON and never end with a zero byte.
            if rest.len() == length && payload.ends_with(&[0]) {
                break;
            }
            return Err(damage("frame checksum does not match"));
        }
        payloads.push((position as u64, payload));
        position += HEADER_BYTES + length;
    }
    let length = position as u64;
    Ok(Frames { payloads, length })
}

fn read_header(header: &[u8; HEADER_BYTES]) -> Option<(usize, u32)> {
    let field = |at: usize| {
        let bytes = header.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    let intact = header.starts_with(&MAGIC) && crc32fast::hash(&header[..12]) == field(12)?;
    let length = usize::try_from(field(4)?).ok()?;
    intact.then_some((length, field(8)?))
}
