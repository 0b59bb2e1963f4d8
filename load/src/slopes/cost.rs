//! Processor time and memory of a piece of code. Other programs run beside it, so time is that of
//! the thread and not that of the clock.

use std::alloc;
use std::fs;
use std::hint;
use std::sync::atomic;
use std::time;

/// Processor time for which a piece of code is repeated.
const MEASURED_TIME: time::Duration = time::Duration::from_millis(200);

static HELD_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// The system's allocator with a count of the bytes held.
#[derive(Debug)]
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: both calls are handed on unchanged to the system's allocator, which keeps the contract.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        HELD_BYTES.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        HELD_BYTES.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the pointer came from `alloc` above with the same layout.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

/// Returns the processor time that this thread has used.
pub fn thread_time() -> time::Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    let nanoseconds = first.and_then(|word| word.parse().ok()).unwrap_or(0);
    time::Duration::from_nanos(nanoseconds)
}

/// Returns the processor time of one call in microseconds.
pub fn microseconds<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls: u32 = 1;
    loop {
        let start = thread_time();
        for _ in 0..calls {
            hint::black_box(call());
        }
        let used = thread_time().saturating_sub(start);
        if used >= MEASURED_TIME {
            return used.as_secs_f64() * 1e6 / f64::from(calls);
        }
        calls = calls.saturating_mul(2);
    }
}

/// Returns what `build` makes and the bytes of memory that it holds.
pub fn held_bytes<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = HELD_BYTES.load(atomic::Ordering::Relaxed);
    let built = build();
    let after = HELD_BYTES.load(atomic::Ordering::Relaxed);
    (built, after.saturating_sub(before))
}
