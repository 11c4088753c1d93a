//! Frames with length and checksums.

const MAGIC: [u8; 4] = *b"FSR1";
const HEADER: usize = 16;

/// Largest payload; a length beyond it would not fit the header.
pub(super) const MAX_PAYLOAD: usize = u32::MAX as usize;

/// Why a frame is damaged, with its position.
pub(super) type Damage = (u64, String);

/// Frames of a file.
#[derive(Debug)]
pub(super) struct Frames<'a> {
    /// Complete frames: position and payload.
    pub(super) payloads: Vec<(u64, &'a [u8])>,
    /// Length of the complete frames; anything behind is an incomplete frame.
    pub(super) length: u64,
}

/// Adds a frame to a buffer.
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
    while let Some((header, rest)) = bytes[position..].split_first_chunk::<HEADER>() {
        let damage = |reason: &str| (position as u64, reason.to_owned());
        let Some((length, checksum)) = read_header(header) else {
            // Only a header that was cut short is followed by nothing but zeros.
            if header.ends_with(&[0]) && rest.iter().all(|byte| *byte == 0) {
                break;
            }
            return Err(damage("bad header of a frame"));
        };
        let Some(payload) = rest.get(..length) else {
            break;
        };
        if crc32fast::hash(payload) != checksum {
            // Payloads are JSON and never end with a zero byte.
            if rest.len() == length && payload.ends_with(&[0]) {
                break;
            }
            return Err(damage("bad checksum of a frame"));
        }
        payloads.push((position as u64, payload));
        position += HEADER + length;
    }
    let length = position as u64;
    Ok(Frames { payloads, length })
}

fn read_header(header: &[u8; HEADER]) -> Option<(usize, u32)> {
    let field = |at: usize| {
        let bytes = header.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    let intact = header.starts_with(&MAGIC) && crc32fast::hash(&header[..12]) == field(12)?;
    let length = usize::try_from(field(4)?).ok()?;
    intact.then_some((length, field(8)?))
}
