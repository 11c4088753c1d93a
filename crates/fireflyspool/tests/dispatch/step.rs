//! Steps of a random run.

use fireflyspool::outcome;

use crate::server_mode;

/// One step; indices are taken modulo the number of servers, shards or sub-requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
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
    /// The owner's process stalls, so that timers and replies are late.
    Pause(u8),
    Cancel(u8),
    TakeOutServer(u8),
    BringBackServer(u8),
    TakeOutZone(u8),
    BringBackZone(u8),
    Crash(u8),
    AnnounceLeaving(u8),
    Unassign(u8),
    Assign(u8),
    LoseLease,
    SetMode(u8, server_mode::ServerMode),
    SetSlots(u8, u8),
    ToggleSuspect(u8),
    Drain,
}

impl quickcheck::Arbitrary for Step {
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
            212..=213 => Self::TakeOutServer(number),
            214..=217 => Self::BringBackServer(number),
            218 => Self::TakeOutZone(number),
            219..=221 => Self::BringBackZone(number),
            222..=224 => Self::Crash(number),
            225 => Self::AnnounceLeaving(number),
            226 => Self::Unassign(number),
            227..=228 => Self::Assign(number),
            229..=230 => Self::LoseLease,
            231..=246 => {
                let mode = usize::from(u8::arbitrary(random)) % server_mode::ServerMode::ALL.len();
                Self::SetMode(number, server_mode::ServerMode::ALL[mode])
            }
            247..=252 => Self::SetSlots(number, u8::arbitrary(random)),
            253..=254 => Self::ToggleSuspect(number),
            _ if number < 32 => Self::Drain,
            _ => Self::Wait(number),
        }
    }
}
