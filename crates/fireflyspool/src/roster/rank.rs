//! Rendezvous hashing.

use crate::ids;

/// Rendezvous rank of an entry VM for a backend server; the same on every leader.
pub(super) fn rank(server: &str, node: ids::NodeId) -> u64 {
    // FNV-1a over the name, then the finalizer of SplitMix64 to mix in the node number.
    let name = server
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
    let mut mixed = name ^ node.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
