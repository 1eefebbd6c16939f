//! Settings of the system's memory allocator.

use libc::{M_MMAP_THRESHOLD, M_TRIM_THRESHOLD, c_int, mallopt};

/// Size from which a buffer is mapped by itself, so that its memory goes back to the system when it is
/// dropped. With the allocator's default the size grows with the buffers that are dropped, up to
/// 32 MiB, and memory that one kind of load has used is missing for the next.
const MAPPED_BYTES: c_int = 64 << 10;
/// Free memory at the end of the heap from which it goes back to the system.
const TRIMMED_BYTES: c_int = 256 << 10;

/// Makes the allocator give memory back to the system as soon as large buffers are dropped.
pub fn give_back_large_buffers() {
    for (name, value) in [(M_MMAP_THRESHOLD, MAPPED_BYTES), (M_TRIM_THRESHOLD, TRIMMED_BYTES)] {
        #[expect(unsafe_code, reason = "the allocator has no safe interface")]
        // SAFETY: `mallopt` takes its arguments by value and may be called at any time.
        let is_set = unsafe { mallopt(name, value) } == 1;
        if !is_set {
            log::warn!("the allocator does not take parameter {name}");
        }
    }
}
