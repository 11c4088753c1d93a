//! Steps of a failure schedule.

use crate::simulation;

/// Direction in which a node is isolated from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// It neither sends nor receives.
    Both,
    /// Nothing reaches it.
    Inward,
    /// Nothing leaves it.
    Outward,
}

/// One step; node numbers are taken modulo the number of nodes.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Run { millis: u16 },
    Propose { node: u8 },
    ProposeToLeader,
    Crash { node: u8, tail: simulation::Tail },
    FailDisk { node: u8, operations: u8 },
    CrashAfter { node: u8, actions: u8 },
    Restart { node: u8 },
    LoseDisk { node: u8, joining: bool },
    Pause { node: u8 },
    Resume { node: u8 },
    Isolate { node: u8, direction: Direction },
    CutLink { from: u8, to: u8 },
    Heal,
    Network { loss: u8, repeat: u8, delay: u8 },
    Replace { node: u8 },
    Remove { node: u8 },
    Compact { node: u8 },
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let node = u8::arbitrary(g);
        let byte = u8::arbitrary(g);
        let tails = [
            simulation::Tail::Lost,
            simulation::Tail::Kept,
            simulation::Tail::Torn,
        ];
        let tail = tails[usize::from(byte) % 3];
        let direction =
            [Direction::Both, Direction::Inward, Direction::Outward][usize::from(byte) % 3];
        match u8::arbitrary(g) % 100 {
            0..=39 => Self::Run {
                millis: u16::from(byte) / 4,
            },
            40..=43 => Self::Run {
                millis: 400 + 4 * u16::from(byte),
            },
            44..=57 => Self::ProposeToLeader,
            58..=61 => Self::Propose { node },
            62..=63 => Self::Crash { node, tail },
            64..=65 => Self::FailDisk {
                node,
                operations: byte % 10,
            },
            66..=67 => Self::CrashAfter {
                node,
                actions: byte % 8,
            },
            68..=73 => Self::Restart { node },
            74 => Self::LoseDisk {
                node,
                joining: byte % 4 > 0,
            },
            75..=76 => Self::Pause { node },
            77..=80 => Self::Resume { node },
            81..=82 => Self::Isolate { node, direction },
            83..=84 => Self::CutLink {
                from: node,
                to: byte,
            },
            85..=86 => Self::Heal,
            87..=88 => Self::Network {
                loss: [0, 0, 5, 30][usize::from(byte) % 4],
                repeat: [0, 10, 30][usize::from(byte) % 3],
                delay: byte / 2,
            },
            89..=94 => Self::Replace { node },
            95 => Self::Remove { node },
            _ => Self::Compact { node },
        }
    }
}
