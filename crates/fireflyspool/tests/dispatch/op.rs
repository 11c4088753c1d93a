//! Steps of a random run.

use fireflyspool::outcome;

use crate::mode;

/// One step; numbers are taken modulo what exists.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Submit {
        shard: u8,
        kind: outcome::Kind,
        hedge: bool,
        remaining_ms: u16,
        submission: bool,
        fingerprint: u8,
        excluded: Option<u8>,
    },
    Wait(u8),
    /// The process stands still, so that timers and replies are late.
    Pause(u8),
    Cancel(u8),
    ServerOut(u8),
    ServerBack(u8),
    ZoneOut(u8),
    ZoneBack(u8),
    Crash(u8),
    AnnounceLeaving(u8),
    Disown(u8),
    Own(u8),
    LoseLease,
    Behave(u8, mode::Mode),
    Slots(u8, u8),
    TellSuspect(u8),
    Drain,
}

impl quickcheck::Arbitrary for Op {
    fn arbitrary(random: &mut quickcheck::Gen) -> Self {
        let number = u8::arbitrary(random);
        match u8::arbitrary(random) {
            0..=129 => Self::Submit {
                shard: number,
                kind: outcome::Kind::ALL[usize::from(u8::arbitrary(random) % 3)],
                hedge: u8::arbitrary(random) % 8 == 0,
                remaining_ms: 5 + u16::arbitrary(random) % 400,
                submission: u8::arbitrary(random) % 8 == 0,
                fingerprint: u8::arbitrary(random),
                excluded: (u8::arbitrary(random) % 4 == 0).then(|| u8::arbitrary(random)),
            },
            130..=139 => Self::Pause(number),
            140..=199 => Self::Wait(number),
            200..=211 => Self::Cancel(number),
            212..=213 => Self::ServerOut(number),
            214..=217 => Self::ServerBack(number),
            218 => Self::ZoneOut(number),
            219..=221 => Self::ZoneBack(number),
            222..=224 => Self::Crash(number),
            225 => Self::AnnounceLeaving(number),
            226 => Self::Disown(number),
            227..=228 => Self::Own(number),
            229..=230 => Self::LoseLease,
            231..=246 => {
                let mode = usize::from(u8::arbitrary(random)) % mode::Mode::ALL.len();
                Self::Behave(number, mode::Mode::ALL[mode])
            }
            247..=252 => Self::Slots(number, u8::arbitrary(random)),
            253..=254 => Self::TellSuspect(number),
            _ if number < 32 => Self::Drain,
            _ => Self::Wait(number),
        }
    }
}
