use std::net::SocketAddr;

use proptest::prelude::*;

use super::*;
use crate::unit::Bytes;

const LIMIT: u64 = 1_200;
const LIMIT_BYTES: usize = 1_200;

fn sender(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 8_000))
}

/// Guards against senders that fill the pool so that others get nothing.
#[test]
fn senders_without_end_leave_room_for_others() {
    let held = [1, 2, 3, 5].map(|greedy| {
        let pool = Pool::new("test", Bytes::new(LIMIT));
        let mut reservations: Vec<Reservation> = (0..greedy)
            .map(|number| pool.reserve(sender(number)))
            .collect();
        let mut sizes = vec![0; reservations.len()];
        for _ in 0..LIMIT {
            for (reservation, size) in reservations.iter_mut().zip(&mut sizes) {
                if reservation.resize(*size + 1).is_ok() {
                    *size += 1;
                }
            }
        }
        let mut other = pool.reserve(sender(100));
        let room = (0..=LIMIT_BYTES)
            .take_while(|size| other.resize(*size).is_ok())
            .last();
        drop(reservations);
        drop(other);
        format!(
            "{greedy}: {sizes:?}, room for another {room:?}, after all {}",
            pool.held()
        )
    });
    insta::assert_debug_snapshot!(held);
}

proptest! {
    /// Guards against counts that exceed the limit, or that differ from what is held.
    #[test]
    fn counts_are_those_of_the_reservations(steps in prop::collection::vec((0_usize..8, 0_usize..1_500), 1..200)) {
        let pool = Pool::new("test", Bytes::new(LIMIT));
        let mut held: Vec<(Reservation, usize)> = (0..8_u8)
            .map(|number| (pool.reserve(sender(number / 2)), 0))
            .collect();
        for (index, size) in steps {
            let (reservation, before) = &mut held[index];
            if reservation.resize(size).is_ok() {
                *before = size;
            } else {
                prop_assert!(size > *before);
            }
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            prop_assert_eq!(pool.held(), Bytes::new(sum as u64));
            prop_assert!(sum as u64 <= LIMIT);
        }
        drop(held);
        prop_assert_eq!(pool.held(), Bytes::ZERO);
    }
}
